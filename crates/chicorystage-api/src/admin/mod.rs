//! Answers of the administration API.
//!
//! The router writes these types and the command-line tool reads them.

mod change_answer;
mod change_conflict;
mod deployment_status;
mod history_page;
mod item_finding;
mod items_page;

pub use change_answer::{ChangeAnswer, ChangeStatus};
pub use change_conflict::ChangeConflict;
pub use deployment_status::{AgentReport, DeploymentStatus, RouterReport};
pub use history_page::HistoryPage;
pub use item_finding::ItemFinding;
pub use items_page::ItemsPage;

/// Problem code of a change that lost a race.
pub const CODE_CHANGE_CONFLICT: &str = "change_conflict";
/// Problem code of a change that the inventory does not allow.
pub const CODE_INVALID_CHANGE: &str = "invalid_change";
/// Problem code of an item, VM or request that is not known.
pub const CODE_NOT_FOUND: &str = "not_found";
