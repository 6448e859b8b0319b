use std::collections::HashMap;
use std::sync::Arc;

use chicorystage_api::name::{ModelName, VmId};
use chicorystage_api::peer::{PlaceRequest, PlacementAck, PlacementPush, SlotState};
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_borders::vm_list::VmState;
use chicorystage_core::placement::{DesiredSlots, Release, SlotDemand, VmHistory, next_row};
use chicorystage_core::planner::PlanFailure;
use tokio::sync::oneshot;

use crate::router::borders::RouterBorders;
use crate::router::event::RouterEvent;
use crate::router::handle::RouterHandle;
use crate::router::planner::{PlannerEvent, PlannerView, pushes, run_task};

/// Delay after which a caller should retry a request that got no slot, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

type Reply = oneshot::Sender<Option<PlacementPush>>;

/// One pending request for a slot; `reply` is `None` if this router's main loop made it.
#[derive(Debug)]
struct SlotRequest {
    request: PlaceRequest,
    reply: Option<Reply>,
}

/// The planner's part of the main loop.
///
/// At most one planning run per model is in progress in this router.
#[derive(Debug)]
pub struct PlannerState {
    borders: RouterBorders,
    handle: RouterHandle,
    history: VmHistory,
    /// Models with a run in progress, and the requests that wait for its end.
    runs: HashMap<ModelName, Vec<SlotRequest>>,
    /// Acknowledged releases, kept until the row of the model needs no further change.
    releases: HashMap<ModelName, Vec<Release>>,
}

impl PlannerState {
    /// Creates a planner that knows no VMs and has no runs in progress.
    #[must_use]
    pub fn new(borders: RouterBorders, handle: RouterHandle) -> Self {
        Self {
            borders,
            handle,
            history: VmHistory::default(),
            runs: HashMap::new(),
            releases: HashMap::new(),
        }
    }

    /// Updates the VM history after a successful read of the list of VMs.
    ///
    /// History is kept for VMs that hold a slot even if they are not listed.
    pub fn observe_vms(&mut self, view: PlannerView<'_>) {
        let slots = view.placements.values().flat_map(|push| &push.row.slots);
        let holders = slots.map(|slot| &slot.vm);
        self.history.observe(view.vms.keys(), holders, view.now_ms);
        let holds = |vm: &VmId| {
            let mut slots = view.placements.values().flat_map(|push| &push.row.slots);
            slots.any(|slot| slot.vm == *vm)
        };
        self.history.forget(view.now_ms, holds);
    }

    /// Requests a slot on behalf of this router's own requests.
    ///
    /// Runs the planning itself if this router is the model's planner or none
    /// is listed; else sends the request to the planner. The result arrives in
    /// the main loop as `PlacementRead` or `PlacementFailed`.
    pub fn request_slot(&mut self, view: PlannerView<'_>, request: PlaceRequest) {
        let planner = view.first_router(request.model.as_str());
        let Some(planner) = planner.filter(|vm| vm.id != *view.own_vm) else {
            self.start_or_queue(view, request, None);
            return;
        };
        let (routers, handle) = (Arc::clone(&self.borders.routers), self.handle.clone());
        let address = planner.address;
        tokio::spawn(async move {
            let event = match routers.place(address, request.clone()).await {
                Ok(Some(push)) => RouterEvent::PlacementRead(push),
                Ok(None) | Err(_) => {
                    RouterEvent::Planner(PlannerEvent::RemotePlanFailed { request })
                }
            };
            handle.send(event).await;
        });
    }

    /// Handles one event.
    pub fn on_event(&mut self, view: PlannerView<'_>, event: PlannerEvent) {
        match event {
            PlannerEvent::Place { request, reply } => {
                self.start_or_queue(view, request, Some(reply));
            }
            PlannerEvent::RemotePlanFailed { request } => self.start_or_queue(view, request, None),
            PlannerEvent::RunEnded { model, result } => self.run_ended(view, &model, result),
            PlannerEvent::Acked { vm, acks } => {
                for ack in acks {
                    self.acked(view, &vm, &ack);
                }
            }
            PlannerEvent::Scanned { rows } => {
                for push in rows {
                    self.send_to_loop(RouterEvent::PlacementRead(push));
                }
            }
            PlannerEvent::Tick => self.maintain_all(view),
        }
    }

    /// Starts a run for a request, or queues the request behind the model's current run.
    fn start_or_queue(
        &mut self,
        view: PlannerView<'_>,
        request: PlaceRequest,
        reply: Option<Reply>,
    ) {
        let model = request.model.clone();
        let pending = SlotRequest { request, reply };
        if let Some(others) = self.runs.get_mut(&model) {
            others.push(pending);
            return;
        }
        let (demand, avoid) = requested_slot(&pending.request);
        self.runs.insert(model.clone(), vec![pending]);
        self.start_run(view, &model, demand, avoid);
    }

    fn start_run(
        &self,
        view: PlannerView<'_>,
        model: &ModelName,
        demand: SlotDemand,
        avoid: Vec<VmId>,
    ) {
        let desired = self.desired_state(view, model, demand, avoid);
        tokio::spawn(run_task::run(
            self.borders.clone(),
            self.handle.clone(),
            desired,
            view.candidates(model),
        ));
    }

    /// Builds the input of a planning run from the main loop's view, without candidates.
    ///
    /// Slots of VMs that have been unlisted for long enough are marked as gone,
    /// so that the run removes them.
    fn desired_state(
        &self,
        view: PlannerView<'_>,
        model: &ModelName,
        demand: SlotDemand,
        avoid: Vec<VmId>,
    ) -> DesiredSlots {
        let item = view.inventory.model(model);
        let version = item.and_then(|item| item.version(None));
        let leaving = view.vms.values().filter(|vm| vm.state == VmState::Leaving);
        let slots = view.placements.get(model).map(|push| &push.row.slots);
        let holders = slots.into_iter().flatten().map(|slot| &slot.vm);
        let gone = holders.filter(|vm| self.history.is_gone(vm, view.now_ms));
        DesiredSlots {
            model: model.clone(),
            memory_bytes: version.map_or(0, |version| version.memory_bytes),
            demand,
            avoid,
            candidates: Vec::new(),
            leaving: leaving.map(|vm| vm.id.clone()).collect(),
            gone: gone.cloned().collect(),
            releases: self.releases.get(model).cloned().unwrap_or_default(),
        }
    }

    fn run_ended(
        &mut self,
        view: PlannerView<'_>,
        model: &ModelName,
        result: Result<Option<PlacementPush>, PlanFailure>,
    ) {
        let requests = self.runs.remove(model).unwrap_or_default();
        match result {
            Ok(Some(push)) => {
                self.push_row(view, &push);
                self.answer_or_rerun(view, requests, &push);
                self.send_to_loop(RouterEvent::PlacementRead(push));
            }
            Ok(None) => self.fail(requests, model, "no VM can hold a slot"),
            Err(failure) => self.answer_from_known_row(view, requests, model, &failure.to_string()),
        }
    }

    /// Answers requests from the row last read when the run could not reach the table.
    ///
    /// Requests that the row does not satisfy fail. A stale row is harmless,
    /// because the agent it names checks its own slot before it serves. Routers
    /// that have not read the row yet can therefore keep serving in an outage
    /// of the table.
    fn answer_from_known_row(
        &self,
        view: PlannerView<'_>,
        requests: Vec<SlotRequest>,
        model: &ModelName,
        detail: &str,
    ) {
        let known = view.placements.get(model);
        let (satisfied, failed): (Vec<SlotRequest>, Vec<SlotRequest>) = requests
            .into_iter()
            .partition(|pending| known.is_some_and(|push| satisfies(push, &pending.request)));
        self.fail(failed, model, detail);
        let Some(push) = known.filter(|_| !satisfied.is_empty()) else {
            return;
        };
        for reply in satisfied.into_iter().filter_map(|pending| pending.reply) {
            let _sent = reply.send(Some(push.clone()));
        }
        self.send_to_loop(RouterEvent::PlacementRead(push.clone()));
    }

    /// Answers the requests that a row satisfies and starts a new run for the others.
    fn answer_or_rerun(
        &mut self,
        view: PlannerView<'_>,
        requests: Vec<SlotRequest>,
        push: &PlacementPush,
    ) {
        for (i, pending) in requests.into_iter().enumerate() {
            // The run was started for the first request, so its row always answers that one.
            if i > 0 && !satisfies(push, &pending.request) {
                self.start_or_queue(view, pending.request, pending.reply);
            } else if let Some(reply) = pending.reply {
                let _sent = reply.send(Some(push.clone()));
            }
        }
    }

    /// Reports to each request that no slot could be decided.
    fn fail(&self, requests: Vec<SlotRequest>, model: &ModelName, detail: &str) {
        for pending in requests {
            match pending.reply {
                Some(reply) => {
                    let _sent = reply.send(None);
                }
                None => self.send_to_loop(RouterEvent::PlacementFailed {
                    model: model.clone(),
                    refusal: Refusal::not_run(RefusalCode::NoPlacement, detail)
                        .retry_after_ms(RETRY_AFTER_MS),
                }),
            }
        }
    }

    /// Pushes a row to every listed VM that holds one of its slots.
    fn push_row(&self, view: PlannerView<'_>, push: &PlacementPush) {
        for vm in view.holders(&push.row) {
            pushes::spawn(&self.borders, &self.handle, vm, push.clone());
        }
    }

    /// Records a release that an agent acknowledged and updates the model's row accordingly.
    fn acked(&mut self, view: PlannerView<'_>, vm: &VmId, ack: &PlacementAck) {
        if ack.held || !ack.released {
            return;
        }
        let releases = self.releases.entry(ack.model.clone()).or_default();
        releases.retain(|release| release.vm != *vm);
        releases.push(Release {
            vm: vm.clone(),
            row_version: ack.row_version,
        });
        self.maintain_model(view, &ack.model);
    }

    /// Pushes revoking slots again and maintains the rows of all models.
    ///
    /// Covers the models whose planner is this router, or all if no router is listed.
    fn maintain_all(&mut self, view: PlannerView<'_>) {
        for (model, push) in view.placements {
            let first = view.first_router(model.as_str());
            if first.is_some_and(|vm| vm.id != *view.own_vm) {
                continue;
            }
            let slots = push.row.slots.iter();
            let revoking = slots.filter(|slot| slot.state == SlotState::Revoking);
            for vm in revoking.filter_map(|slot| view.vms.get(&slot.vm)) {
                pushes::spawn(&self.borders, &self.handle, vm, push.clone());
            }
            self.maintain_model(view, model);
        }
    }

    /// Starts a maintenance run if the row of a model should change and none is in progress.
    fn maintain_model(&mut self, view: PlannerView<'_>, model: &ModelName) {
        let Some(push) = view.placements.get(model) else {
            return;
        };
        if self.runs.contains_key(model) {
            return;
        }
        let desired = self.desired_state(view, model, SlotDemand::Maintenance, Vec::new());
        // Before the inventory is loaded the cap reads as 0, which must not revoke slots.
        let known = view.inventory.revision() > 0;
        if known && next_row(Some(push), &desired, view.inventory.replicas_max(model)).is_some() {
            self.runs.insert(model.clone(), Vec::new());
            self.start_run(view, model, SlotDemand::Maintenance, Vec::new());
        } else {
            self.releases.remove(model);
        }
    }

    fn send_to_loop(&self, event: RouterEvent) {
        let handle = self.handle.clone();
        tokio::spawn(async move { handle.send(event).await });
    }
}

/// Returns the kind of slot that a request needs and the VMs to avoid.
fn requested_slot(request: &PlaceRequest) -> (SlotDemand, Vec<VmId>) {
    let demand = if request.additional {
        SlotDemand::Additional {
            seen_row_version: request.seen_row_version,
        }
    } else {
        SlotDemand::First
    };
    (demand, request.avoid.clone())
}

/// Returns whether a row satisfies a request.
///
/// It must have a held slot on a VM that is not to be avoided. For an
/// additional slot it must also be newer than the row the requester has seen.
fn satisfies(push: &PlacementPush, request: &PlaceRequest) -> bool {
    if request.additional && push.row_version <= request.seen_row_version {
        return false;
    }
    let mut slots = push.row.slots.iter();
    slots.any(|slot| slot.state == SlotState::Held && !request.avoid.contains(&slot.vm))
}
