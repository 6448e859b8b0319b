use std::collections::HashSet;

use chicorystage_api::name::{ModelName, VmId};

use crate::placement::{Candidate, Release};

/// Desired state of a model's slots, with the facts about VMs that a planner observed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredSlots {
    /// Model of the slots.
    pub model: ModelName,
    /// Memory that a replica occupies, in bytes.
    pub memory_bytes: u64,
    /// Demand for additional slots.
    pub demand: SlotDemand,
    /// VMs that refused a load or could not be reached.
    pub avoid: Vec<VmId>,
    /// Live VMs that can run the model.
    pub candidates: Vec<Candidate>,
    /// VMs that drain and must release their slots.
    pub leaving: HashSet<VmId>,
    /// VMs that no longer exist.
    pub gone: HashSet<VmId>,
    /// Releases that agents acknowledged.
    pub releases: Vec<Release>,
}

/// Demand for slots of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotDemand {
    /// No new slot; only moves are continued and the cap is enforced.
    Maintenance,
    /// At least one slot on a VM that is not avoided.
    First,
    /// One slot more than the row of that version has, up to the cap.
    Additional {
        /// Row version on which the requester based its demand; 0 if it has seen no row.
        seen_row_version: u64,
    },
}
