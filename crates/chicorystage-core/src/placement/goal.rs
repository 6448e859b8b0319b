use std::collections::HashSet;

use chicorystage_api::name::{ModelName, VmId};

use crate::placement::{Candidate, Release};

/// What a planner wants of a model's slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Goal {
    /// Model of the slots.
    pub model: ModelName,
    /// Memory that a replica takes, in bytes.
    pub memory_bytes: u64,
    /// Slots that are wanted.
    pub wanted: Wanted,
    /// VMs that refused or could not be reached.
    pub avoid: Vec<VmId>,
    /// Live VMs that can run the model.
    pub candidates: Vec<Candidate>,
    /// VMs that are leaving and must give up their slots.
    pub leaving: HashSet<VmId>,
    /// VMs that are gone for good.
    pub gone: HashSet<VmId>,
    /// Acknowledged releases.
    pub releases: Vec<Release>,
}

/// Slots that a planner wants for a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// No new slot: only moves and the cap are attended to.
    Upkeep,
    /// At least one slot on a VM that is not avoided.
    First,
    /// One slot more than in the row of that version, up to the cap.
    Additional {
        /// Row version that the asker has seen; 0 for none.
        seen_row_version: u64,
    },
}
