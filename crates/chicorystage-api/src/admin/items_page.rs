use serde::{Deserialize, Serialize};

use crate::inventory::ItemRow;

/// Items of the inventory in force at one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemsPage {
    /// Inventory revision in force.
    pub revision: u64,
    /// Rows by key.
    pub rows: Vec<ItemRow>,
}
