use serde::{Deserialize, Serialize};

use crate::name::{ModelName, VmId};

/// Decided slots of a model, as stored in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRow {
    /// Model of the slots.
    pub model: ModelName,
    /// Slots, each held by one VM; no VM holds two.
    pub slots: Vec<Slot>,
}

/// One decided slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// VM that alone may load a replica for this slot.
    pub vm: VmId,
    /// State of the slot.
    pub state: SlotState,
}

/// State of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotState {
    /// The VM may load and unload freely.
    Held,
    /// The VM must unload and acknowledge; then the slot is removed.
    Revoking,
}
