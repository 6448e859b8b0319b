//! The inventory in force in a process, and the checks on changes to it.
//!
//! [`InventoryState`] holds the items of one revision and applies change
//! records in order, without missing one. [`check_change`], [`check_versions`]
//! and [`check_rights`] validate a change against a state. [`diff`] returns the
//! changes that lead to a desired inventory. [`ChangeLog`] keeps the newest
//! records, so that a process that is a few revisions behind can catch up
//! without a snapshot.

mod applied;
mod change_log;
mod check;
mod check_item;
mod diff;
mod overlay;
mod problem;
mod rights;
mod state;

pub use applied::Applied;
pub use change_log::ChangeLog;
pub use check::{check_change, check_versions};
pub use diff::{ItemDiff, diff};
pub use problem::Problem;
pub use rights::{ANY_OWNER, check_rights};
pub use state::InventoryState;
