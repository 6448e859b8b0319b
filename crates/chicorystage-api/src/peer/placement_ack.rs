use serde::{Deserialize, Serialize};

use crate::name::ModelName;

/// What an agent did with a pushed placement row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementAck {
    /// Model of the row.
    pub model: ModelName,
    /// Newest row version that the agent follows for the model.
    pub row_version: u64,
    /// Whether the VM now holds a slot.
    pub held: bool,
    /// Whether no replica of the model is loaded, loading or unsettled and
    /// none will be loaded under `row_version` or an older row.
    pub released: bool,
}
