use chicorystage_api::name::AdapterName;

use crate::replicas::ReplicaKey;

/// Identifies what a reservation is for: a replica without its adapters, or one of its adapters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReservationOwner {
    /// Replica that uses the memory itself or through the adapter.
    pub replica: ReplicaKey,
    /// Adapter that uses the memory; `None` for the replica itself.
    pub adapter: Option<AdapterName>,
}

impl ReservationOwner {
    /// Identifies the memory of a replica without its adapters.
    #[must_use]
    pub fn replica(replica: &ReplicaKey) -> Self {
        Self {
            replica: replica.clone(),
            adapter: None,
        }
    }

    /// Identifies the memory of one adapter of a replica.
    #[must_use]
    pub fn adapter(replica: &ReplicaKey, adapter: &AdapterName) -> Self {
        Self {
            replica: replica.clone(),
            adapter: Some(adapter.clone()),
        }
    }
}
