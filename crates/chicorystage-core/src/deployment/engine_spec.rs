use std::collections::HashMap;

use chicorystage_api::name::ModelName;

use crate::deployment::ModelSpec;

/// The model engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Accelerator memory of one engine for weights and adapters, in megabytes.
    pub memory_mb: f64,
    /// Adapters that one engine holds at most.
    pub adapters_max: usize,
    /// Tokens that one engine's key-value cache holds.
    pub cache_tokens: u64,
    /// Loads a second that the weight store allows over all engines.
    pub loads_per_s: f64,
    /// Models by name.
    pub models: HashMap<ModelName, ModelSpec>,
}
