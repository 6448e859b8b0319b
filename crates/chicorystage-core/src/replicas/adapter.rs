use chicorystage_api::peer::ReplicaState;

use crate::replicas::part::Part;

/// One adapter on a replica.
#[derive(Clone, Debug)]
pub struct Adapter {
    pub(crate) part: Part,
    pub(crate) in_use: u32,
    pub(crate) idle_since_ms: u64,
}

impl Adapter {
    /// Creates an adapter in some state.
    pub(crate) fn new(part: Part, now_ms: u64) -> Self {
        Self {
            part,
            in_use: 0,
            idle_since_ms: now_ms,
        }
    }

    /// Returns the adapter's state.
    #[must_use]
    pub fn state(&self) -> ReplicaState {
        self.part.state()
    }
}
