use std::collections::HashMap;

use chicorystage_api::name::ModelName;

use crate::orders::AdapterRef;

/// Requests that wait at one router.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaitQueueReport {
    /// Time from which the report no longer counts, in milliseconds.
    pub valid_until_ms: u64,
    /// Number of requests that wait for a model, by model.
    pub models: HashMap<ModelName, u32>,
    /// Number of requests that wait for an adapter of a loaded model, by adapter.
    pub adapters: HashMap<AdapterRef, u32>,
}
