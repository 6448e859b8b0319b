use chicorystage_api::name::AdapterName;

use crate::replicas::ReplicaKey;

/// What a reservation is for: a replica without adapters, or one adapter on it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Holding {
    /// Replica that takes the memory or carries the adapter.
    pub replica: ReplicaKey,
    /// Adapter that takes the memory, where it is not the replica itself.
    pub adapter: Option<AdapterName>,
}

impl Holding {
    /// Names the memory of a replica without its adapters.
    #[must_use]
    pub fn replica(replica: &ReplicaKey) -> Self {
        Self {
            replica: replica.clone(),
            adapter: None,
        }
    }

    /// Names the memory of one adapter.
    #[must_use]
    pub fn adapter(replica: &ReplicaKey, adapter: &AdapterName) -> Self {
        Self {
            replica: replica.clone(),
            adapter: Some(adapter.clone()),
        }
    }
}
