use chicorystage_api::peer::ReplicaState;

use crate::replicas::load_state::LoadState;

/// An adapter on a replica, with its load state and use count.
#[derive(Clone, Debug)]
pub struct Adapter {
    pub(crate) load_state: LoadState,
    pub(crate) in_use: u32,
    pub(crate) idle_since_ms: u64,
}

impl Adapter {
    /// Creates an unused adapter in the given state.
    pub(crate) fn new(load_state: LoadState, now_ms: u64) -> Self {
        Self {
            load_state,
            in_use: 0,
            idle_since_ms: now_ms,
        }
    }

    /// Returns the load state of the adapter.
    #[must_use]
    pub fn state(&self) -> ReplicaState {
        self.load_state.state()
    }
}
