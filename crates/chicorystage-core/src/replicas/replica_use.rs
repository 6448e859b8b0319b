use chicorystage_api::name::AdapterName;

use crate::replicas::ReplicaKey;

/// One attempt's use of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaUse {
    pub(crate) key: ReplicaKey,
    pub(crate) adapter: Option<AdapterName>,
    pub(crate) serial: u64,
}

impl ReplicaUse {
    /// Returns the replica that is used.
    #[must_use]
    pub fn key(&self) -> &ReplicaKey {
        &self.key
    }
}
