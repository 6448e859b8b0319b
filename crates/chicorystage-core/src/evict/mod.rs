//! Which replicas give way when memory is needed.
//!
//! A replica is worth keeping by the cost of loading it again, times the
//! chance that it is used soon, for each byte that it holds. The least worth
//! goes first; a replica with work never goes.

mod eviction;
mod resident;

pub use eviction::{evict, evict_order};
pub use resident::Resident;
