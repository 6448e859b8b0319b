use serde::{Deserialize, Serialize};

use crate::inventory::{ChangeRecord, ItemKey};

/// An item that another change has written since the submitter read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeConflict {
    /// Item whose version differs from the expected one.
    pub key: ItemKey,
    /// Version that the submitter expected; `None` if the item should not exist.
    pub expected_revision: Option<u64>,
    /// Version in force; `None` if the item does not exist.
    pub current_revision: Option<u64>,
    /// The conflicting change that was committed first; `None` if the log no longer has it.
    pub winner: Option<ChangeRecord>,
}
