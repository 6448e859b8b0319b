use serde::{Deserialize, Serialize};

use crate::inventory::ItemRow;

/// The whole inventory at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision of the newest change included.
    pub revision: u64,
    /// Rows of all items, sorted by key.
    pub rows: Vec<ItemRow>,
}
