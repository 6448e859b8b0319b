use chicorystage_api::name::AdapterName;

use crate::replicas::ReplicaKey;

/// What is known of an order's effect when its answer came or was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// It took effect.
    Done,
    /// It had no effect and never will.
    NoEffect,
    /// Its effect is unknown.
    Unknown,
}

/// The order that an answer belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedOrder {
    /// Replica of the order.
    pub replica: ReplicaKey,
    /// Adapter of the order, where it was for one.
    pub adapter: Option<AdapterName>,
    /// Whether the order was to load.
    pub is_load: bool,
    /// What is known of its effect.
    pub end: OrderEnd,
}
