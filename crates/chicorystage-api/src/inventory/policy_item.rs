use serde::{Deserialize, Serialize};

/// Settings of the whole deployment that operators change at run time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PolicyItem {
    /// Weight of cold-start latency against idle accelerator time, 0 to 100.
    ///
    /// At 100 only cold starts count, which favours tail latency; at 0 only idle time counts.
    pub cold_start_weight_percent: u32,
    /// Largest number of replicas of a model that has no rule.
    pub replicas_max_default: u32,
    /// Largest number of concurrent model loads from the weight store.
    pub loads_concurrent_max: u32,
    /// Largest number of model loads from the weight store started per second.
    pub loads_per_s_max: u32,
    /// Largest number of concurrent adapter fetches from the weight store, over all agents.
    pub adapter_fetches_max: u32,
    /// Retries that first attempts add to a router's budget, in percent of their number.
    pub retry_budget_percent: u32,
    /// Timeout of a request that names none, in milliseconds.
    pub timeout_default_ms: u64,
    /// Longest timeout that a request may name, in milliseconds.
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
