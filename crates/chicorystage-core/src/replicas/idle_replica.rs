use crate::replicas::ReplicaKey;

/// A loaded replica that runs nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdleReplica {
    /// Model and version.
    pub key: ReplicaKey,
    /// Memory without adapters, in bytes.
    pub memory_bytes: u64,
    /// Time since it last ran something, in milliseconds.
    pub idle_ms: u64,
}
