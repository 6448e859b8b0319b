//! Placement of models on engines, and the orders that establish it.
//!
//! An engine's accelerator memory holds a few of the models that callers
//! request, and a cold start takes seconds to minutes. An order is a command to
//! one engine to load or unload a model or an adapter. One router at a time,
//! the lease holder, plans the orders for all engines:
//!
//! * A [`DemandTracker`] collects the requests and the wait queues of all routers.
//! * An [`OrderTracker`] keeps one [`EngineRecord`] per engine: its loaded models,
//!   the order in progress, and the weights cached on its disk and in its memory.
//! * [`OrderTracker::plan`] compares demand with the records and returns orders.
//!
//! # At-most-once orders
//!
//! An engine counts the orders that it has accepted and refuses an order that
//! expects a different count. It carries out one order at a time. An order whose
//! reply was lost has therefore either raised the count, or can never take
//! effect once another order was accepted. Until its outcome is known, the
//! engine receives no other order and the order's memory stays reserved.
//!
//! A new lease holder does not know which orders of its predecessors are still
//! on their way. [`FormerOrders`] tells for how long that matters to an engine.
//!
//! # Value of a replica
//!
//! The value of a model's first replica is its request rate. It is multiplied
//! for models whose callers expect an answer within a second, since they time
//! out before a load from disk completes. Callers with an objective of seconds
//! can wait for such a load, so their models are evicted first. The value of a
//! further replica is the load that the existing ones cannot serve in time.

mod adapter_ref;
mod demand_tracker;
mod engine_record;
mod engine_report;
mod former_orders;
mod late_orders;
mod load_source;
mod model_change;
mod model_demand;
mod model_value;
mod order;
mod order_kind;
mod order_reply;
mod order_tracker;
mod order_tracker_settings;
mod outstanding_order;
mod placement;
mod plan_table;
mod running_loads;
mod store_load_limiter;
mod wait_queue_report;

pub use adapter_ref::AdapterRef;
pub use demand_tracker::DemandTracker;
pub use engine_record::EngineRecord;
pub use engine_report::EngineReport;
pub use former_orders::FormerOrders;
pub use late_orders::LateOrders;
pub use load_source::LoadSource;
pub use model_change::ModelChange;
pub use model_demand::ModelDemand;
pub use order::Order;
pub use order_kind::OrderKind;
pub use order_reply::OrderReply;
pub use order_tracker::OrderTracker;
pub use order_tracker_settings::OrderTrackerSettings;
pub use outstanding_order::OutstandingOrder;
pub use store_load_limiter::StoreLoadLimiter;
pub use wait_queue_report::WaitQueueReport;
