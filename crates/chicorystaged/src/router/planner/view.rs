use std::collections::HashMap;

use chicorystage_api::name::{GroupName, ModelName, VmId};
use chicorystage_api::peer::{PlacementPush, PlacementRow};
use chicorystage_borders::vm_list::{VmEntry, VmState};
use chicorystage_core::inventory::InventoryState;
use chicorystage_core::rendezvous;

/// What the main loop knows that the planner decides by.
#[derive(Clone, Copy, Debug)]
pub struct PlannerView<'a> {
    /// VM of this router.
    pub own_vm: &'a VmId,
    /// Group of the routers.
    pub own_group: &'a GroupName,
    /// Inventory in force.
    pub inventory: &'a InventoryState,
    /// VMs as last listed.
    pub vms: &'a HashMap<VmId, VmEntry>,
    /// Newest placement rows.
    pub placements: &'a HashMap<ModelName, PlacementPush>,
    /// Reading of the clock, in milliseconds.
    pub now_ms: u64,
}

impl<'a> PlannerView<'a> {
    /// Returns the router ranked first for a key; none where no router is listed.
    #[must_use]
    pub fn first_router(&self, key: &str) -> Option<&'a VmEntry> {
        self.live(self.own_group)
            .max_by_key(|vm| (rendezvous::weight(key, vm.id.as_str()), &vm.id))
    }

    /// Returns the live VMs that can run a model, in rendezvous order.
    #[must_use]
    pub fn candidates(&self, model: &ModelName) -> Vec<VmEntry> {
        let Some(item) = self.inventory.model(model) else {
            return Vec::new();
        };
        let mut vms: Vec<VmEntry> = self.live(&item.group).cloned().collect();
        rendezvous::rank(model.as_str(), &mut vms, |vm| vm.id.as_str());
        vms
    }

    /// Returns the holders of a row's slots, as far as they are listed.
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
