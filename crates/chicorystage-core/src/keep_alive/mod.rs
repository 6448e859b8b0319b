//! How long an idle replica stays loaded, and when it is loaded ahead of use.
//!
//! Each model has a histogram of the gaps between its requests, on a
//! logarithmic scale and with old gaps fading. A plan is chosen by expected
//! cost: idle time costs by the share of the accelerator that the replica
//! takes, a cold start costs by the time it would take, and one weight of the
//! deployment trades the two. A model with little history borrows from all
//! models.
//!
//! A plan has two parts: the replica stays for [`KeepAlivePlan::keep_alive_ms`]
//! after a request, and where requests come at a habitual distance it is
//! loaded again for [`KeepAlivePlan::prewarm`].

mod cost;
mod gap_histogram;
mod keep_alive_plan;
mod model_gaps;
mod plan_choice;

pub use cost::KeepAliveCost;
pub use keep_alive_plan::{KeepAlivePlan, PrewarmWindow};
pub use model_gaps::KeepAlive;
