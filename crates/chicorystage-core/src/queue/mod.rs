//! Wait queue of one endpoint, ordered by class, fairness and deadline.
//!
//! The queue is bounded in the number and the bytes of its attempts. A higher class goes first.
//! Within a class, capacity is shared fairly by weight: a caller is eligible only while the
//! attempts that it was served, divided by its weight, exceed those of the least served caller in
//! the queue by no more than [`LEAD_MAX`]. Among the eligible callers the earliest deadline goes
//! first.
//!
//! A full queue admits an attempt of a higher class, or of a caller below its share, by displacing
//! another: in the lowest class, the attempt with the latest deadline of the caller that has the
//! most queued attempts by weight.
//!
//! A suspect, an attempt that may crash the endpoint, runs alone: once one is next, nothing else
//! starts until it has run.

mod attempts_ahead;
mod bounded_queue;
mod entry;
mod push_outcome;
mod shares;

pub use attempts_ahead::attempts_ahead;
pub use bounded_queue::Queue;
pub use entry::Entry;
pub use push_outcome::PushOutcome;

/// Attempts per unit of weight by which a caller may be ahead of the least served caller.
pub const LEAD_MAX: u64 = 4;
