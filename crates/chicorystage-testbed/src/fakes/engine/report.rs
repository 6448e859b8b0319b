use std::collections::BTreeMap;

use chicorystage_api::name::ModelName;
use serde::{Deserialize, Serialize};

use crate::fakes::ReplicaEvent;

/// Counters and replica history of a fake engine, which tests check.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Number of the engine's run, which each crash increments; the first is 1.
    pub engine_run: u64,
    /// Accelerator memory, in bytes.
    pub memory_total_bytes: u64,
    /// Highest memory use so far, in bytes.
    pub memory_highest_bytes: u64,
    /// Number of orders that requested more memory than was free.
    pub overcommits: u32,
    /// Number of load orders for a model that was already present in memory.
    pub double_loads: u32,
    /// Number of orders that were refused because of an outdated fencing token.
    pub fenced_orders: u32,
    /// Number of completions that were started.
    pub completions: u64,
    /// Number of loads that were started, by model.
    pub loads: BTreeMap<ModelName, u32>,
    /// History of replicas on all engines that share the ledger.
    pub replicas: Vec<ReplicaEvent>,
}
