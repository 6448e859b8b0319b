use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::inventory::ItemKey;

/// One problem in a submitted change, with the value given and the values allowed.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{key}: {field}: given {given:?}, allowed: {allowed}")]
pub struct ItemFinding {
    /// Item at fault.
    pub key: ItemKey,
    /// Field of the item; empty if the item as a whole is at fault.
    pub field: Arc<str>,
    /// Value that was given; a placeholder where the value may be secret.
    pub given: Arc<str>,
    /// Description of the values allowed.
    pub allowed: Arc<str>,
}
