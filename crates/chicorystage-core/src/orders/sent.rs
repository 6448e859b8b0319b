use crate::orders::Order;

/// An order that was sent and has no answer yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sent {
    /// The order.
    pub order: Order,
    /// Time at which it is sent again for want of an answer, in milliseconds.
    pub repeat_ms: u64,
}
