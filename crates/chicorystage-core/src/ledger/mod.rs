//! Reservations of one endpoint's accelerator memory.
//!
//! A reservation is made before the order that takes the memory and is given
//! up only when the engine is known to hold the memory no longer. Between the
//! two it stands, whatever became of the order's answer.

mod full;
mod holding;
mod reservations;

pub use full::LedgerFull;
pub use holding::Holding;
pub use reservations::Ledger;
