//! The inventory in force, what it allows and how it may change.
//!
//! [`InventoryState`] holds the items of one revision and takes changes in
//! order without gaps. [`check_change`] and [`check_rights`] judge a change
//! against a state; [`diff`] turns a wanted inventory into the changes that
//! lead to it. [`ChangeLog`] keeps the newest records for those who lag.

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
