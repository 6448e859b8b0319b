use serde::{Deserialize, Serialize};

use crate::name::ModelName;

/// A router's proof that the addressed VM holds a slot for a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// Model of the slot.
    pub model: ModelName,
    /// Table version of the placement row in which the router read the slot.
    pub row_version: u64,
}
