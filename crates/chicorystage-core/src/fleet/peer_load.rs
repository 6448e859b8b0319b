use std::collections::HashMap;

use chicorystage_api::name::{EndpointId, ModelName};

/// Requests in progress as reported by another router.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Time from which the report no longer counts, in milliseconds.
    pub valid_until_ms: u64,
    /// Requests in progress by endpoint and model; no model for a plain application.
    pub in_progress: HashMap<(EndpointId, Option<ModelName>), u32>,
}
