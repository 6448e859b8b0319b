//! Chooses the endpoint of an attempt.
//!
//! A request for a model may run only on VMs that hold a slot of the model. If
//! no known slot is usable, the request waits while the planner provides one.
//! Other requests may run on any VM of their group.

use chicorystage_api::name::{ModelName, VmId};
use chicorystage_api::peer::{PlaceRequest, PlacementPush, SlotState};
use chicorystage_api::refusal::Refusal;
use chicorystage_api::work::SlotGrant;
use chicorystage_borders::vm_list::{VmEntry, VmState};
use chicorystage_core::choice::Candidate;
use chicorystage_core::rendezvous;
use tokio::sync::oneshot;

use crate::router::event::Choice;
use crate::router::main_loop::{RouterLoop, WaitingRequest, no_endpoint};
use crate::router::serving::{ChooseRequest, InFlightGuard};

type Reply = oneshot::Sender<Result<Choice, Refusal>>;

impl RouterLoop {
    /// Chooses an endpoint, or requests a slot from the planner and queues the request.
    ///
    /// If the estimated wait at the chosen endpoint is too long, also requests a
    /// further slot for later requests.
    pub(super) fn choose(&mut self, request: ChooseRequest, reply: Reply) {
        let Some(model) = request.model.clone() else {
            let choice = self.choose_in_group(&request);
            let _sent = reply.send(choice);
            return;
        };
        if self.has_no_usable_slot(&model, &request) {
            self.wait_for_slot(&model, request, reply);
            return;
        }
        let choice = self.choose_slot_holder(&model, &request);
        if self
            .serving
            .needs_further_slot(self.clock.now_ms(), &model, &choice)
        {
            let slots = self.slot_holders(&model).into_iter();
            self.request_slot(&model, slots.map(|vm| vm.id).collect());
        }
        let _sent = reply.send(choice);
    }

    /// Stores a placement row if it is newer and decides the requests that wait for the model.
    pub(super) fn on_placement_read(&mut self, push: PlacementPush) {
        let model = push.row.model.clone();
        let known = self.placements.get(&model);
        let known_version = known.map_or(0, |known| known.row_version);
        if push.row_version > known_version {
            self.placements.insert(model.clone(), push);
        }
        for waiting in self.waiting_requests.remove(&model).unwrap_or_default() {
            let choice = self.choose_slot_holder(&model, &waiting.request);
            let _sent = waiting.reply.send(choice);
        }
    }

    /// Decides the waiting requests after the planner could not provide a slot.
    ///
    /// They use the slots of the known row, or are refused if there is no row.
    pub(super) fn on_placement_failed(&mut self, model: &ModelName, refusal: &Refusal) {
        for waiting in self.waiting_requests.remove(model).unwrap_or_default() {
            let choice = if self.placements.contains_key(model) {
                self.choose_slot_holder(model, &waiting.request)
            } else {
                Err(refusal.clone())
            };
            let _sent = waiting.reply.send(choice);
        }
    }

    fn wait_for_slot(&mut self, model: &ModelName, request: ChooseRequest, reply: Reply) {
        let mut avoid = request.avoid.clone();
        let slots = self.slot_holders(model).into_iter();
        avoid.extend(slots.filter(|vm| !self.is_usable(vm)).map(|vm| vm.id));
        let waiting = self.waiting_requests.entry(model.clone()).or_default();
        waiting.push(WaitingRequest { request, reply });
        if waiting.len() == 1 {
            self.request_slot(model, avoid);
        }
    }

    /// Requests a slot from the planner: the first one, or an additional one
    /// that is on none of the VMs in `avoid`.
    ///
    /// The result arrives as a `PlacementRead` or `PlacementFailed` event.
    fn request_slot(&mut self, model: &ModelName, avoid: Vec<VmId>) {
        let known = self.placements.get(model);
        let request = PlaceRequest {
            model: model.clone(),
            additional: !avoid.is_empty(),
            avoid,
            seen_row_version: known.map_or(0, |push| push.row_version),
        };
        let (planner, _, view) = self.split_for_planning();
        planner.request_slot(view, request);
    }

    /// Returns whether no known slot of the model is usable for a request.
    ///
    /// An agent that is leaving has released its slot, and an agent that did not
    /// serve an earlier attempt may have failed. If this applies to all slots of
    /// the known row, the row may be outdated.
    fn has_no_usable_slot(&self, model: &ModelName, request: &ChooseRequest) -> bool {
        let usable = |vm: &VmEntry| self.is_usable(vm) && !request.avoid.contains(&vm.id);
        !self.slot_holders(model).iter().any(usable)
    }

    fn is_usable(&self, vm: &VmEntry) -> bool {
        vm.state == VmState::Live && !self.serving.is_leaving(&vm.id)
    }

    fn slot_holders(&self, model: &ModelName) -> Vec<VmEntry> {
        let Some(push) = self.placements.get(model) else {
            return Vec::new();
        };
        let slots = push.row.slots.iter();
        let held_slots = slots.filter(|slot| slot.state == SlotState::Held);
        let vms = held_slots.filter_map(|slot| self.vms.get(&slot.vm));
        vms.cloned().collect()
    }

    fn choose_in_group(&mut self, request: &ChooseRequest) -> Result<Choice, Refusal> {
        let group = self.vms.values().filter(|vm| vm.group == request.group);
        let vms = group.cloned().collect();
        self.choose_among(vms, request, None)
    }

    fn choose_slot_holder(
        &mut self,
        model: &ModelName,
        request: &ChooseRequest,
    ) -> Result<Choice, Refusal> {
        let push = self.placements.get(model).ok_or_else(no_endpoint)?;
        let grant = SlotGrant {
            model: model.clone(),
            row_version: push.row_version,
        };
        self.choose_among(self.slot_holders(model), request, Some(grant))
    }

    /// Chooses one of the given VMs; VMs that are leaving get no new work.
    fn choose_among(
        &mut self,
        mut vms: Vec<VmEntry>,
        request: &ChooseRequest,
        grant: Option<SlotGrant>,
    ) -> Result<Choice, Refusal> {
        vms.retain(|vm| self.is_usable(vm));
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
        let is_chosen = |vm: &VmEntry, chosen: &VmId| vm.id == *chosen;
        let vm = vms.into_iter().find(|vm| is_chosen(vm, &chosen.vm));
        Ok(Choice {
            vm: vm.ok_or_else(no_endpoint)?,
            grant,
            estimated_wait_ms: chosen.estimated_wait_ms,
            flight: InFlightGuard::new(self.handle.clone(), chosen.vm),
        })
    }
}
