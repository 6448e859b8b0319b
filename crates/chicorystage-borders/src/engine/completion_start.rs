use std::sync::Arc;

use chicorystage_api::inventory::Class;
use chicorystage_api::name::{AdapterName, Digest, ModelName, VersionName};
use serde::{Deserialize, Serialize};

/// Request that starts a completion on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionStart {
    /// Identity of the stream, unique on the engine.
    pub stream_id: Arc<str>,
    /// Model to run; the engine must have loaded it.
    pub model: ModelName,
    /// Version to run.
    pub version: VersionName,
    /// Adapter to run, which the engine must have loaded; `None` runs the base model.
    pub adapter: Option<AdapterName>,
    /// Text to complete.
    pub prompt: Arc<str>,
    /// Largest number of tokens to generate.
    pub max_tokens: u32,
    /// Priority within the engine's batch.
    pub class: Class,
    /// Digest of the work, the same for every copy that a caller resends.
    pub digest: Digest,
}
