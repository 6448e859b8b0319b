use std::collections::HashMap;

use chicorystage_api::name::{EndpointId, ModelName};

/// Requests that another router has in progress.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Time at which it was received, in milliseconds.
    pub received_ms: u64,
    /// Requests in progress by endpoint and model; no model for a plain application.
    pub in_progress: HashMap<(EndpointId, Option<ModelName>), u32>,
}
