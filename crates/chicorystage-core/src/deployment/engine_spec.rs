use std::collections::HashMap;

use chicorystage_api::name::ModelName;

use crate::deployment::ModelSpec;

/// Capacity and models of the engines of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Largest number of requests that one engine runs at once.
    pub slots: u32,
    /// Accelerator memory of one engine for weights and adapters, in megabytes.
    pub memory_mb: f64,
    /// Largest number of adapters loaded on one engine.
    pub adapters_max: usize,
    /// Capacity of one engine's key-value cache, in tokens.
    pub cache_tokens: u64,
    /// Loads per second that the weight store allows for all engines together; 0 allows none.
    pub loads_per_s: f64,
    /// Models that may be loaded, by name.
    pub models: HashMap<ModelName, ModelSpec>,
}
