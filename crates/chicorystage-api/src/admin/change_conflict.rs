use serde::{Deserialize, Serialize};

use crate::inventory::{ChangeRecord, ItemKey};

/// An item that another change reached first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeConflict {
    /// Item that differs from what the submitter saw.
    pub key: ItemKey,
    /// Version that the submitter expected; none for an absent item.
    pub expected_revision: Option<u64>,
    /// Version in force; none for an absent item.
    pub current_revision: Option<u64>,
    /// Change that came first, where the log still has it.
    pub winner: Option<ChangeRecord>,
}
