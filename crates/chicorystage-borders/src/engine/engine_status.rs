use chicorystage_api::name::{AdapterName, ModelName, VersionName};
use serde::{Deserialize, Serialize};

/// What an engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Identity of this run of the engine; changes when it restarts.
    pub engine_run: u64,
    /// Highest fencing number seen; 0 where the engine ignores them.
    pub fence_highest: u64,
    /// Whether the engine refuses orders with an old fencing number.
    pub fence_enforced: bool,
    /// Accelerator memory, in bytes.
    pub memory_total_bytes: u64,
    /// Accelerator memory in use or promised to running loads, in bytes.
    pub memory_used_bytes: u64,
    /// Longest time that an order given by an earlier client may still take
    /// effect, in milliseconds.
    pub order_in_flight_max_ms: u64,
    /// Completions run at once.
    pub batch_slots: u32,
    /// Replicas.
    pub replicas: Vec<EngineReplica>,
    /// Weights that are cached near.
    pub cached: Vec<CachedWeights>,
}

/// One replica on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReplica {
    /// Model of the replica.
    pub model: ModelName,
    /// Version of the replica.
    pub version: VersionName,
    /// State of the replica.
    pub state: EngineReplicaState,
    /// Memory of the replica without adapters, in bytes.
    pub memory_bytes: u64,
    /// Loaded or loading adapters with their memory, in bytes.
    pub adapters: Vec<(AdapterName, u64)>,
}

/// State of a replica as the engine reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineReplicaState {
    /// Weights are being read.
    Loading,
    /// Completions can run.
    Loaded,
    /// Memory is being given back.
    Unloading,
}

/// Where a model's weights are cached on the VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedWeights {
    /// Model.
    pub model: ModelName,
    /// Version.
    pub version: VersionName,
    /// Nearest tier.
    pub tier: CacheTier,
}

/// Place from which weights are loaded, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheTier {
    /// Host memory.
    Memory,
    /// Local disk.
    Disk,
    /// The platform's weight store.
    Remote,
}
