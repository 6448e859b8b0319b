use chicorystage_api::name::AdapterName;

use crate::replicas::ReplicaKey;

/// A replica as listed in an engine's status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedReplica {
    /// Model and version.
    pub key: ReplicaKey,
    /// State as reported by the engine.
    pub state: ObservedState,
    /// Memory of the replica without its adapters, in bytes.
    pub memory_bytes: u64,
    /// Adapters that are loaded or loading; the status does not distinguish them.
    pub adapters: Vec<ObservedAdapter>,
}

/// An adapter as listed in an engine's status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedAdapter {
    /// Name of the adapter.
    pub name: AdapterName,
    /// Memory of the adapter, in bytes.
    pub memory_bytes: u64,
}

/// State of a replica as reported by an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservedState {
    /// Weights are being loaded.
    Loading,
    /// Completions can run.
    Loaded,
    /// Memory is being freed.
    Unloading,
}
