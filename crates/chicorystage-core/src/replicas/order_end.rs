use chicorystage_api::name::AdapterName;

use crate::replicas::ReplicaKey;

/// Known effect of an order after its answer arrived or the wait for it was abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// It took effect.
    Done,
    /// It had no effect and never will.
    NoEffect,
    /// Its effect is unknown until a status of the engine resolves it.
    Unknown,
}

/// An order that has ended, with its known effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedOrder {
    /// Replica that the order addressed.
    pub replica: ReplicaKey,
    /// Adapter that the order addressed; `None` for an order for the replica itself.
    pub adapter: Option<AdapterName>,
    /// Whether the order was a load; otherwise it was an unload.
    pub is_load: bool,
    /// Known effect of the order.
    pub end: OrderEnd,
}
