use serde::{Deserialize, Serialize};

use crate::name::{ModelName, VmId};

/// Slots of a model, as stored in the platform's table.
///
/// A slot gives one VM the right to load a replica of the model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRow {
    /// Model of the slots.
    pub model: ModelName,
    /// Slots; each is held by one VM, and no VM holds two.
    pub slots: Vec<Slot>,
}

/// The right of one VM to load a replica of the model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// The only VM that may load a replica for this slot.
    pub vm: VmId,
    /// Whether the slot is held or being revoked.
    pub state: SlotState,
}

/// State of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotState {
    /// The VM may load and unload its replica at any time.
    Held,
    /// The VM must unload its replica; once it has acknowledged, the slot is removed.
    Revoking,
}
