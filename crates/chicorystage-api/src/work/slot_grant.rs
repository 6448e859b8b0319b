use serde::{Deserialize, Serialize};

use crate::name::ModelName;

/// A router's evidence that the addressed VM holds a slot of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// Model of the slot.
    pub model: ModelName,
    /// Table version of the placement row that the router read.
    pub row_version: u64,
}
