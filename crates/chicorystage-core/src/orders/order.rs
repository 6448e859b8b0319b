use chicorystage_api::name::{EndpointId, ModelName};

use crate::orders::OrderKind;

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Endpoint of the engine.
    pub endpoint: EndpointId,
    /// Model that the order concerns.
    pub model: ModelName,
    /// What the order changes.
    pub kind: OrderKind,
    /// Orders that the engine must have accepted before.
    pub expected_sequence: u64,
}
