use serde::{Deserialize, Serialize};

use crate::name::{ModelName, VmId};

/// A request to the planner of a model for a slot (the right of a VM to load it).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// Model that needs a slot.
    pub model: ModelName,
    /// Whether a further slot is requested beside existing ones, up to the cap of the model's rule.
    pub additional: bool,
    /// VMs to avoid because they refused or could not be reached.
    pub avoid: Vec<VmId>,
    /// Newest version of the placement row that the sender has read; 0 for none.
    pub seen_row_version: u64,
}
