//! The lease of the one router that gives orders.
//!
//! The lease is a row of the store: its holder, an epoch that each take-over
//! raises, and whether the holder gave it up. Compare-and-set on the row's
//! version decides between routers that try at once. A router takes over when
//! the row has not changed for the lease's length on its own boot clock since
//! it saw the row, so the routers' clocks are never compared.
//!
//! The holder gives orders while its last renewal is recent. Where endpoints
//! refuse old epochs it may go on while the store fails, since a new holder's
//! first order ends it; a holder that has been paused must confirm the lease
//! before its next order.

mod lease_action;
mod lease_row;
mod order_lease;
mod store_reply;

pub use lease_action::LeaseAction;
pub use lease_row::LeaseRow;
pub use order_lease::OrderLease;
pub use store_reply::StoreReply;
