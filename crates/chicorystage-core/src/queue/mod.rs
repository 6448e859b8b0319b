//! Attempts that wait at one endpoint.
//!
//! The queue is bounded in count and in bytes. A higher class goes first.
//! Within a class the earliest deadline goes first, among the callers whose
//! share, divided by their weight, is not more than [`LEAD_MAX`] attempts ahead
//! of the caller who got least. A full queue makes room for a higher class, or
//! for a caller below its share, by giving up the latest of the lowest class.
//!
//! A suspect runs alone: once one is next, nothing else starts until it ran.

mod ahead;
mod entry;
mod pushed;
mod shares;
mod waiting;

pub use ahead::ahead_of;
pub use entry::Entry;
pub use pushed::Pushed;
pub use waiting::Queue;

/// Attempts per weight by which a caller may run ahead of the others.
pub const LEAD_MAX: u64 = 4;
