//! Calls that are not idempotent run at most once.
//!
//! A router commits a claim row in the platform's table before it dispatches
//! such a call. The row names the one agent incarnation that may run the
//! claim's epoch. The agent runs an epoch at most once and answers what became
//! of it; a router that meets somebody else's open claim asks and never runs
//! the call anew on a guess.
//!
//! # Why at most once holds
//!
//! * One row version is replaced by one other, so every epoch has one claim
//!   and one dispatching router, which dispatches it at most once.
//! * A [`ClaimBook`] refuses an epoch that it has run, tombstoned or
//!   forgotten, and one that names another incarnation.
//! * A higher epoch is claimed only after the lower one is known not to run:
//!   its dispatch was refused or never delivered, or the agent tombstoned it.
//!
//! No clock and no lease takes part. A router that pauses between its claim
//! and its dispatch wakes to a refusal.
//!
//! # Limits
//!
//! A book remembers a bounded number of ended claims. What it forgets raises a
//! floor of row versions at or below which it answers "unknown", so a
//! forgotten call is reported as one that may have run.

mod book;
mod step;

pub use book::{ClaimBook, ClaimBookConfig, ClaimRejection};
pub use step::{ClaimStep, step_after_answer, step_for_row};
