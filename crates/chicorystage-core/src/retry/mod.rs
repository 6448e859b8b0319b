//! Retry budgets and backoff: when a failed attempt may be retried.
//!
//! Unlimited retries multiply the load on a fleet that is already failing. A
//! retry budget prevents this: each first attempt adds a fraction of a retry
//! to it, and each retry takes a whole one. The pause before a retry grows
//! exponentially and is jittered, so that requests which failed together are
//! not retried together.
//!
//! [`RetryBudget`] limits one router on its own; [`SharedRetryBudget`] keeps a limit
//! that holds for all routers of a deployment together.

mod backoff;
mod retry_budget;
mod shared_retry_budget;

pub use backoff::backoff_ms;
pub use retry_budget::RetryBudget;
pub use shared_retry_budget::SharedRetryBudget;
