use serde::{Deserialize, Serialize};

use crate::inventory::ChangeRecord;

/// One page of the change log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryPage {
    /// Newest accepted revision.
    pub head_revision: u64,
    /// Accepted changes, oldest first.
    pub records: Vec<ChangeRecord>,
}
