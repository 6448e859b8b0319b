use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::name::{AdapterName, ModelName, VersionName};

/// A completion on a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Base model.
    pub model: ModelName,
    /// Version to run, resolved by the router.
    pub version: VersionName,
    /// Adapter to run; `None` for the base model.
    pub adapter: Option<AdapterName>,
    /// Accelerator memory of a replica of that version, in bytes.
    pub model_memory_bytes: u64,
    /// Accelerator memory of the adapter, in bytes; 0 without one.
    pub adapter_memory_bytes: u64,
    /// Prompt text.
    pub prompt: Arc<str>,
    /// Largest number of tokens to generate.
    pub max_tokens: u32,
}
