use serde::{Deserialize, Serialize};

use crate::name::ModelName;

/// An agent's acknowledgement of a pushed placement row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementAck {
    /// Model of the row.
    pub model: ModelName,
    /// Newest version of the row that the agent has applied for the model.
    pub row_version: u64,
    /// Whether the VM holds a slot under that version.
    pub held: bool,
    /// Whether no replica of the model is loaded, loading or unresolved (an order
    /// with unknown outcome), and none will be loaded under `row_version` or older.
    pub released: bool,
}
