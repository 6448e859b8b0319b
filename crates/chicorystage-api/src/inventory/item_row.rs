use serde::{Deserialize, Serialize};

use crate::inventory::Item;
use crate::name::{ChangeId, OperatorName};

/// An item as stored in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemRow {
    /// Content of the item.
    pub item: Item,
    /// Version of the item: the inventory revision of the change that last wrote it.
    pub revision: u64,
    /// Identifier of that change.
    pub change_id: ChangeId,
    /// Operator who submitted that change.
    pub operator: OperatorName,
}
