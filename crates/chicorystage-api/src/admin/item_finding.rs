use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::inventory::ItemKey;

/// One problem in a submitted change.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{key}: {field}: given {given:?}, allowed: {allowed}")]
pub struct ItemFinding {
    /// Item at fault.
    pub key: ItemKey,
    /// Field of the item, empty where the item itself is at fault.
    pub field: Arc<str>,
    /// Value that was given.
    pub given: Arc<str>,
    /// What would have been accepted.
    pub allowed: Arc<str>,
}
