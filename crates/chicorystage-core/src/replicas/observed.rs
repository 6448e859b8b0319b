use chicorystage_api::name::AdapterName;

use crate::replicas::ReplicaKey;

/// One replica in an engine's status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedReplica {
    /// Model and version.
    pub key: ReplicaKey,
    /// State that the engine reports.
    pub state: ObservedState,
    /// Memory without adapters, in bytes.
    pub memory_bytes: u64,
    /// Adapters that are loaded or being loaded.
    pub adapters: Vec<ObservedAdapter>,
}

/// One adapter in an engine's status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedAdapter {
    /// Name.
    pub name: AdapterName,
    /// Memory, in bytes.
    pub memory_bytes: u64,
}

/// State of a replica as an engine reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservedState {
    /// Weights are being read.
    Loading,
    /// Completions can run.
    Loaded,
    /// Memory is being given back.
    Unloading,
}
