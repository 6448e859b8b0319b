use serde::{Deserialize, Serialize};

use crate::name::ChangeId;

/// The head of the inventory: the row that names its newest committed revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// Number of the newest committed change, counted from 1.
    pub revision: u64,
    /// Identifier of that change.
    pub change_id: ChangeId,
}
