use crate::orders::Order;

/// An order that was sent and has no conclusive reply yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutstandingOrder {
    /// The order as sent; every retry is identical.
    pub order: Order,
    /// Time at which the order is sent again, in milliseconds.
    pub retry_ms: u64,
}
