use chicorystage_api::name::{EndpointId, ModelName};

use crate::orders::OrderKind;

/// A command to one engine to load or unload a model or an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Endpoint of the engine.
    pub endpoint: EndpointId,
    /// Model that is loaded or unloaded, or whose adapter is.
    pub model: ModelName,
    /// Operation on the model.
    pub kind: OrderKind,
    /// Number of orders that the engine must have accepted so far; it refuses the order otherwise.
    pub expected_sequence: u64,
}
