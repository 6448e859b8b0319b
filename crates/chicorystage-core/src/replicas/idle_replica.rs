use crate::replicas::ReplicaKey;

/// A loaded replica without running attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdleReplica {
    /// Model and version.
    pub key: ReplicaKey,
    /// Memory of the replica without its adapters, in bytes.
    pub memory_bytes: u64,
    /// Time since its last attempt ended, in milliseconds.
    pub idle_ms: u64,
}
