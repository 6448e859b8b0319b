use std::collections::HashMap;

use chicorystage_api::name::{GroupName, ModelName, VmId};
use chicorystage_api::peer::{PlacementPush, PlacementRow};
use chicorystage_borders::vm_list::{VmEntry, VmState};
use chicorystage_core::inventory::InventoryState;
use chicorystage_core::rendezvous;

/// Read-only view of the main loop's state that the planner decides from.
#[derive(Clone, Copy, Debug)]
pub struct PlannerView<'a> {
    /// VM of this router.
    pub own_vm: &'a VmId,
    /// Group that this router and its peers belong to.
    pub own_group: &'a GroupName,
    /// Inventory in force.
    pub inventory: &'a InventoryState,
    /// VMs as of the last read of the platform's list.
    pub vms: &'a HashMap<VmId, VmEntry>,
    /// Newest placement row of each model that this router has received.
    pub placements: &'a HashMap<ModelName, PlacementPush>,
    /// Current reading of the router's clock, in milliseconds.
    pub now_ms: u64,
}

impl<'a> PlannerView<'a> {
    /// Returns the live router ranked first for a key by rendezvous hashing.
    ///
    /// `None` if no live router is listed.
    #[must_use]
    pub fn first_router(&self, key: &str) -> Option<&'a VmEntry> {
        self.live(self.own_group)
            .max_by_key(|vm| (rendezvous::weight(key, vm.id.as_str()), &vm.id))
    }

    /// Returns the live VMs of a model's group, best rank first.
    ///
    /// Empty if the inventory has no such model.
    #[must_use]
    pub fn candidates(&self, model: &ModelName) -> Vec<VmEntry> {
        let Some(item) = self.inventory.model(model) else {
            return Vec::new();
        };
        let mut vms: Vec<VmEntry> = self.live(&item.group).cloned().collect();
        rendezvous::rank(model.as_str(), &mut vms, |vm| vm.id.as_str());
        vms
    }

    /// Returns the VMs that hold a row's slots, without those that are not listed.
    pub fn holders(&self, row: &'a PlacementRow) -> impl Iterator<Item = &'a VmEntry> {
        let vms = self.vms;
        row.slots.iter().filter_map(|slot| vms.get(&slot.vm))
    }

    fn live(&self, group: &GroupName) -> impl Iterator<Item = &'a VmEntry> {
        self.vms
            .values()
            .filter(move |vm| vm.group == *group && vm.state == VmState::Live)
    }
}
