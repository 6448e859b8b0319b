use chicorystage_api::name::{AdapterName, ModelName, VersionName};
use serde::{Deserialize, Serialize};

/// Replicas, cached weights and memory of an engine as it reports them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Identity of this run of the engine; changes when it restarts.
    pub engine_run: u64,
    /// Highest fencing token received; 0 if the engine ignores fencing tokens.
    pub fence_highest: u64,
    /// Whether the engine refuses orders with a fencing token below its highest.
    pub fence_enforced: bool,
    /// Accelerator memory, in bytes.
    pub memory_total_bytes: u64,
    /// Accelerator memory in use or reserved by running loads, in bytes.
    pub memory_used_bytes: u64,
    /// Longest time, in milliseconds, in which an order that an earlier client
    /// sent may still take effect.
    pub order_in_flight_max_ms: u64,
    /// Largest number of completions that the engine runs at once.
    pub batch_slots: u32,
    /// Replicas that are loaded, loading or unloading.
    pub replicas: Vec<EngineReplica>,
    /// Weights cached in the VM's memory or on its disk.
    pub cached: Vec<CachedWeights>,
}

/// A copy of one model version on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReplica {
    /// Model of the replica.
    pub model: ModelName,
    /// Version of the replica.
    pub version: VersionName,
    /// Whether the replica is loading, loaded or unloading.
    pub state: EngineReplicaState,
    /// Accelerator memory of the replica without adapters, in bytes.
    pub memory_bytes: u64,
    /// Loaded or loading adapters, each with its memory in bytes.
    pub adapters: Vec<(AdapterName, u64)>,
}

/// State of a replica as the engine reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineReplicaState {
    /// The engine is reading the weights; completions can't run yet.
    Loading,
    /// The weights are in accelerator memory and completions can run.
    Loaded,
    /// The engine is freeing the replica's memory.
    Unloading,
}

/// Where a model's weights are cached on the VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedWeights {
    /// Model of the weights.
    pub model: ModelName,
    /// Version of the weights.
    pub version: VersionName,
    /// Nearest tier that has the weights.
    pub tier: CacheTier,
}

/// Storage tier from which weights can be loaded, ordered from nearest to farthest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheTier {
    /// Host memory of the VM.
    Memory,
    /// Local disk of the VM.
    Disk,
    /// The platform's weight store.
    Remote,
}
