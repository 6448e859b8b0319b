use serde::{Deserialize, Serialize};

use crate::inventory::ItemRow;

/// Answer that lists items of the inventory in force at one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemsPage {
    /// Inventory revision in force.
    pub revision: u64,
    /// Rows, sorted by key.
    pub rows: Vec<ItemRow>,
}
