//! Keep-alive and prewarming of replicas, learned from the intervals between requests.
//!
//! An idle replica occupies accelerator memory, but unloading it makes the next request wait for
//! a cold start. For each model a histogram records the intervals between its requests, on a
//! logarithmic scale and with exponential decay. A plan is chosen by expected cost: idle time
//! costs in proportion to the share of the accelerator that the replica occupies, and a cold start
//! in proportion to its duration. The deployment's policy weighs one against the other. For a model
//! with little history the intervals of all models serve as prior.
//!
//! A plan has two parts. The replica stays loaded for [`KeepAlivePlan::keep_alive_ms`] after a
//! request, and if requests arrive at regular intervals it is loaded again for
//! [`KeepAlivePlan::prewarm`].

mod cost;
mod interval_histogram;
mod keep_alive_plan;
mod model_intervals;
mod plan_choice;

pub use cost::KeepAliveCost;
pub use keep_alive_plan::{KeepAlivePlan, PrewarmWindow};
pub use model_intervals::KeepAlive;
