use std::sync::Arc;

use chicorystage_api::name::ModelName;
use serde::{Deserialize, Serialize};

/// Report that a prompt prefix entered or left an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event; a gap between two numbers means lost events.
    pub sequence: u64,
    /// Model whose cache changed.
    pub model: ModelName,
    /// Digest of the prompt prefix.
    pub prefix_digest: Arc<str>,
    /// Whether the prefix is now cached.
    pub cached: bool,
}
