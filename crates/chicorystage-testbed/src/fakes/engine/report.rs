use std::collections::BTreeMap;

use chicorystage_api::name::ModelName;
use serde::{Deserialize, Serialize};

use crate::fakes::ReplicaEvent;

/// What a fake engine saw, for the checks of a test.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Number of the engine's run.
    pub engine_run: u64,
    /// Accelerator memory, in bytes.
    pub memory_total_bytes: u64,
    /// Highest memory that was ever in use, in bytes.
    pub memory_highest_bytes: u64,
    /// Orders that asked for more memory than was free.
    pub overcommits: u32,
    /// Loads of a model that was loaded already.
    pub double_loads: u32,
    /// Orders refused for their fencing number.
    pub fenced_orders: u32,
    /// Completions that were started.
    pub completions: u64,
    /// How often each model was loaded.
    pub loads: BTreeMap<ModelName, u32>,
    /// Replicas over time.
    pub replicas: Vec<ReplicaEvent>,
}
