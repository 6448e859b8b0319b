use serde::{Deserialize, Serialize};

use crate::inventory::{Item, ItemKey};
use crate::name::ChangeId;

/// A change that an operator submits; it takes effect as a whole or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Identity chosen by the submitter; a repeat of it has no second effect.
    pub change_id: ChangeId,
    /// Items to write or delete.
    pub items: Vec<ItemChange>,
    /// Why the change is made, for the history.
    #[serde(default)]
    pub reason: String,
}

/// One item of a [`Change`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemChange {
    /// Item that is written or deleted.
    pub key: ItemKey,
    /// Version that the submitter last saw; none where the item must not exist.
    pub expected_revision: Option<u64>,
    /// New content; none deletes the item.
    pub item: Option<Item>,
}
