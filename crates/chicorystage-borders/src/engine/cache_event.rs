use std::sync::Arc;

use chicorystage_api::name::ModelName;
use serde::{Deserialize, Serialize};

/// A prompt prefix entered or left the engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; gaps mean lost events.
    pub sequence: u64,
    /// Model whose cache changed.
    pub model: ModelName,
    /// Digest of the prefix.
    pub prefix_digest: Arc<str>,
    /// Whether the prefix is now cached.
    pub cached: bool,
}
