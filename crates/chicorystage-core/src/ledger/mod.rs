//! Reservations of one endpoint's accelerator memory.
//!
//! Memory is reserved before the load order that uses it is sent to the engine.
//! It is released only once the engine is known to use it no longer. Until then
//! the reservation stays, even if the reply to the order is lost, so that an
//! order with an unknown outcome cannot exceed the memory.

mod ledger_full;
mod reservation_owner;
mod reservations;

pub use ledger_full::LedgerFull;
pub use reservation_owner::ReservationOwner;
pub use reservations::Ledger;
