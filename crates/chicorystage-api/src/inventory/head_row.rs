use serde::{Deserialize, Serialize};

use crate::name::ChangeId;

/// Newest accepted revision of the inventory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// Number of the newest accepted change, counted from 1.
    pub revision: u64,
    /// Change that made it.
    pub change_id: ChangeId,
}
