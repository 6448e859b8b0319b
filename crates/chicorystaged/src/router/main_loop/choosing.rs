//! Choosing the endpoint of an attempt.

use chicorystage_api::name::ModelName;
use chicorystage_api::peer::{PlaceRequest, Slot, SlotState};
use chicorystage_api::refusal::Refusal;
use chicorystage_api::work::SlotGrant;
use chicorystage_core::choice::Candidate;
use chicorystage_core::rendezvous;
use chicorystage_platform::vm_list::{VmEntry, VmState};

use crate::router::event::Choice;
use crate::router::main_loop::{RouterLoop, no_endpoint};
use crate::router::serving::{ChooseRequest, Flight};

impl RouterLoop {
    pub(super) fn choose_any(&mut self, request: &ChooseRequest) -> Result<Choice, Refusal> {
        let group = self.vms.values().filter(|vm| vm.group == request.group);
        let vms = group.cloned().collect();
        self.choose_among(vms, request, None)
    }

    pub(super) fn choose_slot(
        &mut self,
        model: &ModelName,
        request: &ChooseRequest,
    ) -> Result<Choice, Refusal> {
        let push = self.placements.get(model).ok_or_else(no_endpoint)?;
        let held = push
            .row
            .slots
            .iter()
            .filter(|slot| slot.state == SlotState::Held);
        let vms = held.filter_map(|slot| self.vms.get(&slot.vm)).cloned();
        let vms = vms.collect();
        let grant = SlotGrant {
            model: model.clone(),
            row_version: push.row_version,
        };
        self.choose_among(vms, request, Some(grant))
    }

    /// Returns what to ask the planner for where no known slot can be used.
    ///
    /// An agent that left has given its slot up, and one that was tried in vain
    /// may be gone: in both cases the row that is known here is of no use.
    pub(super) fn slot_needed(
        &self,
        model: &ModelName,
        request: &ChooseRequest,
    ) -> Option<PlaceRequest> {
        let known = self.placements.get(model);
        let usable = |slot: &Slot| {
            let vm = self.vms.get(&slot.vm);
            let live = vm.is_some_and(|vm| vm.state == VmState::Live);
            slot.state == SlotState::Held && live && !request.avoid.contains(&slot.vm)
        };
        let mut slots = known.into_iter().flat_map(|push| &push.row.slots);
        if slots.any(usable) {
            return None;
        }
        Some(PlaceRequest {
            model: model.clone(),
            additional: !request.avoid.is_empty(),
            avoid: request.avoid.clone(),
            seen_row_version: known.map_or(0, |push| push.row_version),
        })
    }

    /// Chooses one of some VMs; those that are leaving get no new work.
    fn choose_among(
        &mut self,
        mut vms: Vec<VmEntry>,
        request: &ChooseRequest,
        grant: Option<SlotGrant>,
    ) -> Result<Choice, Refusal> {
        vms.retain(|vm| vm.state == VmState::Live);
        let key = request.model.as_ref().map_or("", ModelName::as_str);
        rendezvous::rank(key, &mut vms, |vm| vm.id.as_str());
        let candidates = vms.iter().map(|vm| Candidate {
            vm: vm.id.clone(),
            same_zone: vm.zone == self.daemon.zone,
        });
        let candidates = candidates.collect();
        let now_ms = self.clock.now_ms();
        let chosen = self.serving.choose(now_ms, request, candidates)?;
        let chosen = chosen.ok_or_else(no_endpoint)?;
        let vm = vms.into_iter().find(|vm| vm.id == chosen.vm);
        Ok(Choice {
            vm: vm.ok_or_else(no_endpoint)?,
            grant,
            estimated_wait_ms: chosen.estimated_wait_ms,
            flight: Flight::new(self.handle.clone(), chosen.vm),
        })
    }
}
