use serde::{Deserialize, Serialize};

use crate::inventory::ChangeRecord;

/// A part of the change log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryPage {
    /// Newest accepted revision.
    pub head_revision: u64,
    /// Changes, oldest first.
    pub records: Vec<ChangeRecord>,
}
