//! When a failed attempt may be followed by another.
//!
//! Retries are paid from a budget that first tries fill, so that a fleet in
//! trouble is not hit by a multiple of its load. Pauses grow and are jittered,
//! so that requests which failed together do not come back together.

mod backoff;
mod retry_budget;
mod shared_budget;

pub use backoff::backoff_ms;
pub use retry_budget::RetryBudget;
pub use shared_budget::SharedBudget;
