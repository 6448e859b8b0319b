//! Recorded frames of attempts, so that a router can resume one.
//!
//! The frames of a running attempt are kept whole. Those of a finished one are
//! kept for a while, and no longer than the finished ones together stay within
//! a bound of bytes; then the attempt is forgotten.

mod record;
mod records;

pub use record::AttemptRecord;
pub use records::Attempts;
