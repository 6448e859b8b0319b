//! Recording of the frames of attempts, so that a router can resume one.
//!
//! All frames of a running attempt are kept. Those of a finished attempt are kept for a limited
//! time, and only while the frames of all finished attempts stay within a bound of bytes; the
//! attempts that finished first are dropped first.

mod record;
mod records;

pub use record::AttemptRecord;
pub use records::Attempts;
