//! At-most-once execution of calls that are not idempotent.
//!
//! Such a call carries an idempotency key. Before a router dispatches it, the
//! router commits a claim row in the platform's table. The row names the one
//! agent incarnation that may run the claim's epoch. The agent runs an epoch at
//! most once and reports its outcome on request. A router that finds an open
//! claim of another router queries the agent and never runs the call again on
//! an assumption.
//!
//! # Why calls run at most once
//!
//! * Each row version is replaced by exactly one other, so every epoch has one
//!   claim and one dispatching router, which dispatches it at most once.
//! * A [`ClaimTracker`] refuses an epoch that it has run, tombstoned or evicted,
//!   and an epoch that names another incarnation.
//! * A higher epoch is claimed only once the lower one can never run: its
//!   dispatch was refused or never delivered, or the agent tombstoned it.
//!
//! The argument needs no clock and no lease. If a router pauses between its
//! claim and its dispatch and the claim was tombstoned meanwhile, the agent
//! refuses the dispatch.
//!
//! # Limits
//!
//! A [`ClaimTracker`] keeps a bounded number of ended claims. Evicting a claim
//! raises a floor of row versions. For an unrecorded claim at or below the
//! floor the answer is "unknown", so an evicted call is reported as one that
//! may have run.

mod step;
mod tracker;

pub use step::{ClaimStep, step_after_answer, step_for_row};
pub use tracker::{ClaimRejection, ClaimTracker, ClaimTrackerConfig};
