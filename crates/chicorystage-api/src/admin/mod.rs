//! Answers of the admin API.
//!
//! The router serialises these types and the command-line tool parses them.

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

/// Problem code of a change to an item whose version is not the expected one.
pub const CODE_CHANGE_CONFLICT: &str = "change_conflict";
/// Problem code of a change that would make the inventory invalid.
pub const CODE_INVALID_CHANGE: &str = "invalid_change";
/// Problem code for an unknown item, VM or request.
pub const CODE_NOT_FOUND: &str = "not_found";
