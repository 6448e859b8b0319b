//! Selection of the replicas to evict when memory is needed.
//!
//! The value of a replica is the cost of loading it again, times the probability of its use in
//! the near future, per byte of memory that it occupies. The least valuable replica is evicted
//! first; a replica with work is never evicted.

mod eviction;
mod resident;

pub use eviction::{evict, evict_order};
pub use resident::Resident;
