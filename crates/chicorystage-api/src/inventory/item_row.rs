use serde::{Deserialize, Serialize};

use crate::inventory::Item;
use crate::name::{ChangeId, OperatorName};

/// An item as stored in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemRow {
    /// The item.
    pub item: Item,
    /// Inventory revision of the change that wrote it: the item's version.
    pub revision: u64,
    /// Change that wrote it.
    pub change_id: ChangeId,
    /// Operator who wrote it.
    pub operator: OperatorName,
}
