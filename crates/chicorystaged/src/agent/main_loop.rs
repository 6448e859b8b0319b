//! The agent's main loop: owns all state and decides.
//!
//! The state machines of `chicorystage-core` decide; the files beside this one
//! wire them to events and tasks, each for one concern.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use chicorystage_api::name::{Digest, ModelName};
use chicorystage_api::peer::{AttemptRef, QuarantineEntry};
use chicorystage_api::work::Frame;
use chicorystage_borders::engine::EngineStatus;
use chicorystage_borders::vm_list::VmEntry;
use chicorystage_core::attempts::Attempts;
use chicorystage_core::claim::{ClaimBook, ClaimBookConfig};
use chicorystage_core::drain::Drain;
use chicorystage_core::fence::Fence;
use chicorystage_core::inventory::InventoryState;
use chicorystage_core::ledger::Holding;
use chicorystage_core::queue::Queue;
use chicorystage_core::replicas::{ReplicaKey, Replicas};
use chicorystage_core::slots::Slots;
use tokio::sync::{mpsc, watch};

use crate::agent::borders::{AgentBorders, Endpoint};
use crate::agent::claims::OpenClaim;
use crate::agent::event::AgentEvent;
use crate::agent::handle::AgentHandle;
use crate::agent::learned_policy::LearnedPolicy;
use crate::agent::metrics::Metrics;
use crate::agent::policy::ReplicaPolicy;
use crate::agent::prewarm::LastUse;
use crate::agent::running::Running;
use crate::agent::slot_reads::SlotReads;
use crate::agent::urgency::Urgency;
use crate::agent::waiting::Waiting;
use crate::agent::watch_task;
use crate::settings::{AgentSettings, DaemonSettings};
use crate::timer::Clock;

/// Time between two looks at deadlines and idle replicas, in milliseconds.
const TICK_MS: u64 = 25;
/// Time between two looks at idle replicas, in milliseconds.
const IDLE_CHECK_MS: u64 = 250;
/// Memory of recorded finished attempts, in bytes.
const FINISHED_BYTES_MAX: u64 = 16 << 20;

/// The agent's main loop.
#[derive(Debug)]
pub struct AgentLoop {
    pub(super) daemon: DaemonSettings,
    pub(super) settings: AgentSettings,
    pub(super) borders: AgentBorders,
    pub(super) handle: AgentHandle,
    pub(super) clock: Clock,
    pub(super) incarnation: u64,
    pub(super) attempts: Attempts,
    pub(super) claims: ClaimBook,
    pub(super) open_claims: HashMap<AttemptRef, OpenClaim>,
    pub(super) listeners: HashMap<AttemptRef, Vec<mpsc::UnboundedSender<Frame>>>,
    pub(super) queue: Queue<Waiting>,
    pub(super) running: HashMap<AttemptRef, Running>,
    /// Whether something changed that may let a waiting attempt go on.
    pub(super) dispatch_due: bool,
    pub(super) service_time_ms: u64,
    pub(super) engine: Option<EngineStatus>,
    pub(super) engine_read_ms: u64,
    pub(super) endpoint_up: bool,
    pub(super) fence: Fence,
    pub(super) replicas: Replicas,
    pub(super) loaded_ms: BTreeMap<Holding, u64>,
    pub(super) policy: Box<dyn ReplicaPolicy>,
    pub(super) idle_checked_ms: u64,
    pub(super) load_urgencies: HashMap<ReplicaKey, watch::Sender<Urgency>>,
    pub(super) last_uses: HashMap<ModelName, LastUse>,
    pub(super) slots: Slots,
    pub(super) slots_unreadable: bool,
    pub(super) slot_reads: SlotReads,
    pub(super) slots_being_given_up: HashMap<ModelName, u64>,
    pub(super) local_orders: u32,
    pub(super) vms: watch::Sender<Arc<[VmEntry]>>,
    pub(super) inventory: InventoryState,
    pub(super) revision: watch::Sender<u64>,
    pub(super) quarantined: HashSet<Digest>,
    pub(super) drain: Drain,
    pub(super) metrics: Metrics,
}

impl AgentLoop {
    /// Creates a loop without state.
    #[must_use]
    pub fn new(
        daemon: DaemonSettings,
        settings: AgentSettings,
        borders: AgentBorders,
        handle: AgentHandle,
        clock: Clock,
    ) -> Self {
        let incarnation = rand::random();
        Self {
            incarnation,
            claims: ClaimBookConfig::new().build(incarnation),
            open_claims: HashMap::new(),
            attempts: Attempts::new(settings.finished_kept_ms, FINISHED_BYTES_MAX),
            listeners: HashMap::new(),
            queue: Queue::new(settings.queue_max, settings.queue_bytes_max),
            running: HashMap::new(),
            dispatch_due: false,
            service_time_ms: 0,
            engine: None,
            engine_read_ms: 0,
            endpoint_up: matches!(borders.endpoint, Endpoint::Service(_)),
            fence: Fence::new(clock.now_ms()),
            replicas: Replicas::default(),
            loaded_ms: BTreeMap::new(),
            policy: Box::new(LearnedPolicy::new()),
            idle_checked_ms: 0,
            load_urgencies: HashMap::new(),
            last_uses: HashMap::new(),
            slots: Slots::new(daemon.vm.clone()),
            slots_unreadable: false,
            slot_reads: SlotReads::default(),
            slots_being_given_up: HashMap::new(),
            local_orders: 0,
            vms: watch::channel(Arc::from([])).0,
            inventory: InventoryState::default(),
            revision: watch::channel(0).0,
            quarantined: HashSet::new(),
            drain: Drain::new(settings.drain_max_ms),
            metrics: Metrics::new(),
            daemon,
            settings,
            borders,
            handle,
            clock,
        }
    }

    /// Replaces the policy for idle replicas.
    #[must_use]
    pub fn with_policy(mut self, policy: Box<dyn ReplicaPolicy>) -> Self {
        self.policy = policy;
        self
    }

    /// Runs until the agent has left or every handle is gone.
    pub async fn run(mut self, mut events: mpsc::Receiver<AgentEvent>) {
        self.spawn_watchers();
        while let Some(event) = events.recv().await {
            self.on_event(event);
            while std::mem::take(&mut self.dispatch_due) {
                self.dispatch();
            }
            if self.has_left() {
                return;
            }
        }
    }

    fn spawn_watchers(&self) {
        let (handle, clock) = (self.handle.clone(), self.clock);
        tokio::spawn(watch_task::tick(handle.clone(), clock, TICK_MS));
        let list = Arc::clone(&self.borders.vm_list);
        tokio::spawn(watch_task::watch_vm_list(list, handle.clone(), clock));
        tokio::spawn(watch_task::watch_inventory(
            Arc::clone(&self.borders.routers),
            handle.clone(),
            self.daemon.vm.clone(),
            self.settings.router_group.clone(),
            self.vms.subscribe(),
            self.revision.subscribe(),
        ));
        match &self.borders.endpoint {
            Endpoint::Engine(engine) => {
                let table = Arc::clone(&self.borders.table);
                tokio::spawn(watch_task::read_slots(table, handle.clone()));
                let engine = Arc::clone(engine);
                tokio::spawn(watch_task::watch_engine(engine, handle, clock));
            }
            Endpoint::Service(service) => {
                let service = Arc::clone(service);
                tokio::spawn(watch_task::watch_service(service, handle, clock));
            }
        }
    }

    fn on_event(&mut self, event: AgentEvent) {
        match event {
            AgentEvent::Start { request, frames } => self.start(*request, frames),
            AgentEvent::Resume {
                attempt,
                offset,
                frames,
                reply,
            } => {
                let known = self.resume(&attempt, offset, frames);
                // The router may have gone meanwhile; then nobody needs the answer.
                let _sent = reply.send(known);
            }
            AgentEvent::Cancel(attempt) => self.cancel(&attempt),
            AgentEvent::Output { attempt, payload } => self.output(&attempt, payload),
            AgentEvent::OrderEnded {
                order,
                result,
                took_ms,
                paced_locally,
            } => self.order_ended(order, result, took_ms, paced_locally),
            AgentEvent::EngineRead { begun_ms, status } => self.engine_read(begun_ms, status),
            AgentEvent::ServiceProbed { up } => self.endpoint_up = up,
            AgentEvent::SlotsRead(result) => self.slots_read(result),
            AgentEvent::SlotRead {
                model,
                granted_version,
                result,
            } => self.slot_read(&model, granted_version, result),
            AgentEvent::SlotGivenUp { model, result } => self.slot_given_up(&model, result),
            AgentEvent::VmListRead(vms) => self.vm_list_read(vms),
            AgentEvent::InventoryRead(changes) => self.inventory_read(changes),
            AgentEvent::Tick => self.tick(),
            AgentEvent::QueryClaim { query, reply } => {
                let _sent = reply.send(self.query_claim(&query));
            }
            AgentEvent::PushPlacements { pushes, reply } => {
                let _sent = reply.send(self.push_placements(&pushes));
            }
            AgentEvent::PushQuarantine(entries) => self.quarantine(entries),
            AgentEvent::Status { reply } => {
                let _sent = reply.send(self.status());
            }
            AgentEvent::Metrics { reply } => {
                let _sent = reply.send(self.metrics_text());
            }
            AgentEvent::Drain => self.leave("drain"),
        }
    }

    fn tick(&mut self) {
        let now_ms = self.clock.now_ms();
        self.attempts.forget(now_ms);
        self.expire_running(now_ms);
        if now_ms.saturating_sub(self.idle_checked_ms) >= IDLE_CHECK_MS {
            self.idle_checked_ms = now_ms;
            self.unload_idle(now_ms);
            self.prewarm(now_ms);
        }
        self.give_up_slots(now_ms);
        self.dispatch_due = true;
    }

    fn quarantine(&mut self, entries: Vec<QuarantineEntry>) {
        for entry in entries {
            if entry.active {
                self.quarantined.insert(entry.digest);
            } else {
                self.quarantined.remove(&entry.digest);
            }
        }
    }
}
