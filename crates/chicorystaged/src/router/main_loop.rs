//! The router's main loop: one task that owns all mutable state.
//!
//! Other tasks send [`RouterEvent`]s over a channel, so decisions need no locks
//! and are made one at a time. The loop does no I/O itself: it starts tasks that
//! read or write and that report their results as further events.

mod endpoint_choice;
mod serving;

use std::collections::HashMap;
use std::sync::Arc;

use chicorystage_api::inventory::{CallerItem, ModelRef};
use chicorystage_api::name::{ApplicationName, Digest, GroupName, ModelName, VmId};
use chicorystage_api::peer::{PlacementPush, RouterStatus};
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_borders::vm_list::VmEntry;
use chicorystage_core::inventory::InventoryState;
use tokio::sync::{mpsc, oneshot};

use crate::metrics::Metrics;
use crate::router::borders::RouterBorders;
use crate::router::event::{Admission, Choice, Resolved, RouterEvent, Target};
use crate::router::handle::RouterHandle;
use crate::router::inventory::InventorySync;
use crate::router::permits::PermitState;
use crate::router::planner::{PlannerState, PlannerView, refresh};
use crate::router::serving::{ChooseRequest, ServingState, quarantine};
use crate::settings::{DaemonSettings, RouterSettings};
use crate::timer::Clock;

/// Wildcard in a caller's permissions: every model or every application.
const WILDCARD: &str = "*";
/// Delay after which a caller should retry a request that found no endpoint or an
/// unconfirmed inventory, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// A request that waits until the planner has decided on a slot of its model.
#[derive(Debug)]
struct WaitingRequest {
    request: ChooseRequest,
    reply: oneshot::Sender<Result<Choice, Refusal>>,
}

/// State of the router's main loop.
#[derive(Debug)]
pub struct RouterLoop {
    daemon: DaemonSettings,
    borders: RouterBorders,
    handle: RouterHandle,
    clock: Clock,
    inventory: InventoryState,
    inventory_sync: InventorySync,
    vms: HashMap<VmId, VmEntry>,
    placements: HashMap<ModelName, PlacementPush>,
    waiting_requests: HashMap<ModelName, Vec<WaitingRequest>>,
    planner: PlannerState,
    permits: PermitState,
    serving: ServingState,
}

impl RouterLoop {
    /// Creates a loop that has read no inventory, VMs or placements yet.
    #[must_use]
    #[expect(clippy::needless_pass_by_value, reason = "the loop owns its settings")]
    pub fn new(
        daemon: DaemonSettings,
        settings: RouterSettings,
        borders: RouterBorders,
        handle: RouterHandle,
        clock: Clock,
    ) -> Self {
        let inventory_sync = InventorySync::new(
            (daemon.vm.clone(), daemon.group.clone()),
            settings.freshness_max_ms,
            borders.clone(),
            handle.clone(),
            clock,
        );
        let planner = PlannerState::new(borders.clone(), handle.clone());
        Self {
            daemon,
            borders,
            handle,
            clock,
            inventory: InventoryState::default(),
            inventory_sync,
            vms: HashMap::new(),
            placements: HashMap::new(),
            waiting_requests: HashMap::new(),
            planner,
            permits: PermitState::new(),
            serving: ServingState::new(&settings, Arc::default()),
        }
    }

    /// Sets the metrics that the loop updates.
    #[must_use]
    pub fn with_metrics(mut self, metrics: Arc<Metrics>) -> Self {
        self.serving.set_metrics(metrics);
        self
    }

    /// Starts the tasks of the planner and the quarantine, then handles events until the
    /// stop event.
    pub async fn run(mut self, mut events: mpsc::Receiver<RouterEvent>) {
        let table = Arc::clone(&self.borders.table);
        tokio::spawn(refresh::run(table, self.handle.clone(), self.clock));
        tokio::spawn(quarantine::watch_rows(
            Arc::clone(&self.borders.table),
            self.handle.clone(),
            self.clock,
        ));
        while let Some(event) = events.recv().await {
            if let Some(event) = self.inventory_sync.defer_unconfirmed(event) {
                self.on_event(event);
            }
            if self.serving.stopped {
                return;
            }
        }
    }

    fn on_event(&mut self, event: RouterEvent) {
        match event {
            RouterEvent::Admit {
                token_sha256,
                target,
                reply,
            } => {
                // Sending fails if the request was cancelled, which is harmless.
                let _sent = reply.send(self.admit(&token_sha256, target));
            }
            RouterEvent::Choose { request, reply } => self.choose(request, reply),
            RouterEvent::AttemptEnded { vm, load } => {
                let now_ms = self.clock.now_ms();
                self.serving.endpoints.ended(now_ms, &vm, load);
            }
            RouterEvent::Serving(event) => self.on_serving(event),
            RouterEvent::InventoryRead(snapshot) => {
                self.inventory_sync
                    .on_snapshot_read(&mut self.inventory, snapshot);
            }
            RouterEvent::Inventory(event) => {
                self.inventory_sync.on_event(event, &mut self.inventory);
                for deferred in self.inventory_sync.take_due_requests() {
                    self.on_event(deferred);
                }
            }
            RouterEvent::PushQuarantine { entries, reply } => {
                self.serving.merge_quarantine(entries);
                let _sent = reply.send(());
            }
            RouterEvent::Drain { reply } => {
                self.serving.drain();
                let _sent = reply.send(());
            }
            RouterEvent::VmsRead(vms) => {
                self.vms = vms.into_iter().map(|vm| (vm.id.clone(), vm)).collect();
                self.inventory_sync.set_vms(&self.vms);
                let (planner, _, view) = self.split_for_planning();
                planner.observe_vms(view);
                self.serving
                    .retain_listed_vms(|vm| self.vms.contains_key(vm));
            }
            RouterEvent::PlacementRead(push) => self.on_placement_read(push),
            RouterEvent::PlacementFailed { model, refusal } => {
                self.on_placement_failed(&model, &refusal);
            }
            RouterEvent::Planner(event) => {
                let (planner, _, view) = self.split_for_planning();
                planner.on_event(view, event);
            }
            RouterEvent::Permit(event) => {
                let (_, permits, view) = self.split_for_planning();
                permits.on_event(view, event);
            }
            RouterEvent::Status { reply } => {
                let _sent = reply.send(self.status());
            }
        }
    }

    fn admit(&self, token_sha256: &Digest, target: Target) -> Result<Admission, Refusal> {
        if !self.inventory_sync.admits(self.clock.now_ms()) {
            return Err(stale_rules());
        }
        let Some(caller) = self.inventory.caller_by_token(token_sha256) else {
            return Err(unauthenticated());
        };
        match target {
            Target::Model(model) => self.admit_model(caller, model),
            Target::Application {
                application,
                method,
                path,
            } => self.admit_call(caller, &application, &method, &path),
        }
    }

    fn admit_model(&self, caller: &CallerItem, mut model: ModelRef) -> Result<Admission, Refusal> {
        let allowed = caller
            .models
            .iter()
            .any(|name| name.as_str() == WILDCARD || *name == model.model);
        let unknown = || {
            Refusal::not_run(
                RefusalCode::UnknownModel,
                format!("no model {model} in the inventory"),
            )
        };
        let item = self.inventory.model(&model.model).ok_or_else(unknown)?;
        let version = item.version(model.version.as_ref()).ok_or_else(unknown)?;
        let adapter_memory_bytes = match &model.adapter {
            Some(adapter) => {
                self.inventory
                    .adapter(&model.model, adapter)
                    .ok_or_else(unknown)?
                    .memory_bytes
            }
            None => 0,
        };
        if !allowed {
            let detail = format!("caller {} may not use model {}", caller.name, model.model);
            return Err(Refusal::not_run(RefusalCode::Forbidden, detail));
        }
        let model_memory_bytes = version.memory_bytes;
        model.version = Some(version.version.clone());
        let resolved = Resolved::Model {
            model,
            model_memory_bytes,
            adapter_memory_bytes,
        };
        Ok(self.admission(caller, item.group.clone(), resolved))
    }

    fn admit_call(
        &self,
        caller: &CallerItem,
        name: &ApplicationName,
        method: &str,
        path: &str,
    ) -> Result<Admission, Refusal> {
        let Some(item) = self.inventory.application(name) else {
            let detail = format!("no application {name} in the inventory");
            return Err(Refusal::not_run(RefusalCode::UnknownApplication, detail));
        };
        if !caller
            .applications
            .iter()
            .any(|allowed| allowed.as_str() == WILDCARD || allowed == name)
        {
            let detail = format!("caller {} may not use application {name}", caller.name);
            return Err(Refusal::not_run(RefusalCode::Forbidden, detail));
        }
        let resolved = Resolved::Application {
            idempotent: item.is_idempotent(method, path),
        };
        Ok(self.admission(caller, item.group.clone(), resolved))
    }

    fn admission(&self, caller: &CallerItem, group: GroupName, resolved: Resolved) -> Admission {
        Admission {
            caller: caller.clone(),
            revision: self.inventory.revision(),
            group,
            timeout_default_ms: self.inventory.policy().timeout_default_ms,
            timeout_max_ms: self.inventory.policy().timeout_max_ms,
            resolved,
        }
    }

    /// Splits the loop's state into the planner, the permits and the view that both read.
    fn split_for_planning(&mut self) -> (&mut PlannerState, &mut PermitState, PlannerView<'_>) {
        let view = PlannerView {
            own_vm: &self.daemon.vm,
            own_group: &self.daemon.group,
            inventory: &self.inventory,
            vms: &self.vms,
            placements: &self.placements,
            now_ms: self.clock.now_ms(),
        };
        (&mut self.planner, &mut self.permits, view)
    }

    fn status(&self) -> RouterStatus {
        let now_ms = self.clock.now_ms();
        RouterStatus {
            vm: self.daemon.vm.clone(),
            zone: self.daemon.zone.clone(),
            revision: self.inventory.revision(),
            confirmed_age_ms: self.inventory_sync.confirmed_age_ms(now_ms),
            ready: !self.serving.leaving
                && self.inventory_sync.admits(now_ms)
                && !self.vms.is_empty(),
            leaving: self.serving.leaving,
            table_up: self.inventory_sync.table_up(),
            in_progress: self.serving.in_progress(),
            quarantined: self.serving.quarantined_len(),
        }
    }
}

fn stale_rules() -> Refusal {
    let detail = "this router cannot confirm that its rules are still in force";
    Refusal::not_run(RefusalCode::StaleRules, detail).retry_after_ms(RETRY_AFTER_MS)
}

fn no_endpoint() -> Refusal {
    let detail = Arc::<str>::from("no endpoint can take the request now");
    Refusal::not_run(RefusalCode::NoEndpoint, detail).retry_after_ms(RETRY_AFTER_MS)
}

fn unauthenticated() -> Refusal {
    Refusal::not_run(RefusalCode::Unauthenticated, "unknown bearer token")
}
