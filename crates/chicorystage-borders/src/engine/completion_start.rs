use std::sync::Arc;

use chicorystage_api::inventory::Class;
use chicorystage_api::name::{AdapterName, Digest, ModelName, VersionName};
use serde::{Deserialize, Serialize};

/// A completion as handed to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionStart {
    /// Identity of the stream, unique on the engine.
    pub stream_id: Arc<str>,
    /// Model to run; it must be loaded.
    pub model: ModelName,
    /// Version to run.
    pub version: VersionName,
    /// Adapter to run; it must be loaded.
    pub adapter: Option<AdapterName>,
    /// Text to complete.
    pub prompt: Arc<str>,
    /// Largest number of tokens to generate.
    pub max_tokens: u32,
    /// Priority within the engine's batch.
    pub class: Class,
    /// Digest of the work.
    pub digest: Digest,
}
