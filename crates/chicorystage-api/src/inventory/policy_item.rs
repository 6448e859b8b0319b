use serde::{Deserialize, Serialize};

/// Settings of the whole deployment that operators change at run time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PolicyItem {
    /// Weight of tail cold-start time against idle accelerator time, 0 to 100:
    /// 100 counts only cold starts, 0 counts only idle time.
    pub cold_start_weight_percent: u32,
    /// Replicas of a model that has no rule.
    pub replicas_max_default: u32,
    /// Model loads from the weight store at once.
    pub loads_concurrent_max: u32,
    /// Model loads from the weight store started per second.
    pub loads_per_s_max: u32,
    /// Adapter fetches in flight across all workers.
    pub adapter_fetches_max: u32,
    /// Retries as a share of first tries.
    pub retry_budget_percent: u32,
    /// Time a request has where it names none, in milliseconds.
    pub timeout_default_ms: u64,
    /// Longest time a request may ask for, in milliseconds.
    pub timeout_max_ms: u64,
}

impl Default for PolicyItem {
    fn default() -> Self {
        Self {
            cold_start_weight_percent: 50,
            replicas_max_default: 2,
            loads_concurrent_max: 4,
            loads_per_s_max: 4,
            adapter_fetches_max: 30,
            retry_budget_percent: 20,
            timeout_default_ms: 30_000,
            timeout_max_ms: 600_000,
        }
    }
}
