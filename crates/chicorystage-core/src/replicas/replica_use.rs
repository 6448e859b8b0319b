use chicorystage_api::name::AdapterName;

use crate::replicas::ReplicaKey;

/// Use of a replica by one attempt, from
/// [`Replicas::acquire`](crate::replicas::Replicas::acquire) to
/// [`Replicas::release`](crate::replicas::Replicas::release).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaUse {
    pub(crate) key: ReplicaKey,
    pub(crate) adapter: Option<AdapterName>,
    pub(crate) serial: u64,
}

impl ReplicaUse {
    /// Returns the key of the used replica.
    #[must_use]
    pub fn key(&self) -> &ReplicaKey {
        &self.key
    }
}
