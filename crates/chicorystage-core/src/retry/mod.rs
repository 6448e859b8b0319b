//! Retry budgets and backoff: when a failed attempt may be retried.
//!
//! Unlimited retries multiply the load on a fleet that is already failing. A
//! retry budget prevents this: each first attempt adds a fraction of a retry
//! to it, and each retry takes a whole one. The pause before a retry grows
//! exponentially and is jittered, so that requests which failed together are
//! not retried together.
//!
//! [`RetryBudget`] limits one router on its own; [`SharedRetryBudget`] keeps a limit
//! that holds for all routers of a deployment together, and [`ServiceRetryBudgets`] has one of
//! them for each service.

mod backoff;
mod budget_share;
mod budget_usage;
mod predecessor;
mod retry_budget;
mod retry_budget_settings;
mod service_retry_budgets;
mod shared_retry_budget;

pub use backoff::backoff_ms;
pub use budget_share::BudgetShare;
pub use budget_usage::BudgetUsage;
pub use predecessor::Predecessor;
pub use retry_budget::RetryBudget;
pub use retry_budget_settings::RetryBudgetSettings;
pub use service_retry_budgets::ServiceRetryBudgets;
pub use shared_retry_budget::SharedRetryBudget;
