use serde::{Deserialize, Serialize};

use crate::inventory::{Item, ItemKey};
use crate::name::ChangeId;

/// A change submitted by an operator; it is applied atomically.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Identifier chosen by the submitter; a second change with it has no effect.
    pub change_id: ChangeId,
    /// Items to write or delete.
    pub items: Vec<ItemChange>,
    /// Reason of the change, kept in the history; empty if none is given.
    #[serde(default)]
    pub reason: String,
}

/// One item of a [`Change`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemChange {
    /// Key of the item to write or delete.
    pub key: ItemKey,
    /// Version that the item must have; `None` if the item must not exist.
    pub expected_revision: Option<u64>,
    /// New content; `None` deletes the item.
    pub item: Option<Item>,
}
