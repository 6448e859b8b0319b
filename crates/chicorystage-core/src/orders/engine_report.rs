use chicorystage_api::name::ModelName;

use crate::fleet::LoadedModel;

/// An engine's status report, which lags slightly behind its actual state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Number of orders accepted since the engine started.
    pub sequence: u64,
    /// Loaded models, with their loaded adapters.
    pub models: Vec<LoadedModel>,
    /// Models whose weights are cached in main memory.
    pub in_memory: Vec<ModelName>,
    /// Models whose weights are cached on disk.
    pub on_disk: Vec<ModelName>,
    /// Number of requests in the running batch.
    pub running: u32,
    /// Number of requests in the engine's own queue.
    pub queued: u32,
}
