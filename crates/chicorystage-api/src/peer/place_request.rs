use serde::{Deserialize, Serialize};

use crate::name::{ModelName, VmId};

/// Asks the planner of a model for a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// Model that needs a slot.
    pub model: ModelName,
    /// Whether a slot beside the existing ones is wanted, up to the rule's cap.
    pub additional: bool,
    /// VMs that refused or could not be reached.
    pub avoid: Vec<VmId>,
    /// Newest row version that the asker has seen; 0 for none.
    pub seen_row_version: u64,
}
