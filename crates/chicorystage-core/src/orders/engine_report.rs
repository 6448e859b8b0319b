use chicorystage_api::name::ModelName;

use crate::fleet::HeldModel;

/// What an engine says of itself, as of a moment ago.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Whether an order is under way.
    pub is_busy: bool,
    /// Orders accepted since the engine started.
    pub sequence: u64,
    /// Models and adapters that are loaded.
    pub models: Vec<HeldModel>,
    /// Models with a copy of their weights in main memory.
    pub in_memory: Vec<ModelName>,
    /// Models with a copy of their weights on disk.
    pub on_disk: Vec<ModelName>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait in the engine.
    pub queued: u32,
}
