//! The lease that elects the one router that sends orders to engines.
//!
//! An order is a command to an engine to load or unload a model or an adapter.
//! Orders of two routers would contradict each other, so only the lease holder
//! sends them.
//!
//! The lease is a row in the store with its holder, an epoch that each
//! take-over raises, and a flag that marks it as released. Compare-and-set on
//! the row's version decides between routers that try to acquire it at once. A
//! router takes over when it has seen no change of the row for the duration of
//! the lease. It measures that time on its own boot clock, so the clocks of two
//! routers are never compared.
//!
//! The holder sends orders while its last renewal is recent. If endpoints
//! refuse old epochs, it may continue during an outage of the store, since the
//! first order of a new holder fences it off. A holder whose process was paused
//! must confirm the lease before its next order.
//!
//! A store that has returned from an older copy may lack the row of a holder
//! that still sends orders, also for a process that starts afterwards. So a row
//! that looks free counts only once the store has been in its
//! [era](crate::store_era) for the duration of the lease.

mod acquisition_delay;
mod claim_after_restore;
mod epochs;
mod last_use;
mod lease_action;
mod lease_row;
mod order_lease;
mod store_reply;

pub use acquisition_delay::acquisition_delay_ms;
pub use epochs::FIRST_EPOCH;
pub use lease_action::LeaseAction;
pub use lease_row::LeaseRow;
pub use order_lease::OrderLease;
pub use store_reply::StoreReply;
