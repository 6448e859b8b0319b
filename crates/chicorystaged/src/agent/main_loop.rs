//! The agent's main loop: owns all state and handles one event at a time.
//!
//! Because a single task owns the state, no locks are needed. Decisions are made
//! by the state machines of `chicorystage-core`. The sibling files add the
//! event handlers to [`AgentLoop`], one concern for each file, and spawn
//! tasks for all input and output.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use chicorystage_api::name::{Digest, ModelName};
use chicorystage_api::peer::{AttemptRef, QuarantineEntry};
use chicorystage_api::work::Frame;
use chicorystage_borders::engine::EngineStatus;
use chicorystage_borders::vm_list::VmEntry;
use chicorystage_core::attempts::Attempts;
use chicorystage_core::claim::{ClaimTracker, ClaimTrackerConfig};
use chicorystage_core::drain::Drain;
use chicorystage_core::fence::Fence;
use chicorystage_core::inventory::InventoryState;
use chicorystage_core::ledger::ReservationOwner;
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
use crate::agent::queued_attempt::QueuedAttempt;
use crate::agent::running_attempt::RunningAttempt;
use crate::agent::slot_reads::SlotRowReads;
use crate::agent::urgency::Urgency;
use crate::agent::watch_task;
use crate::settings::{AgentSettings, DaemonSettings};
use crate::timer::Clock;

/// Interval of the tick that checks deadlines and slot releases, in milliseconds.
const TICK_MS: u64 = 25;
/// Interval of the check for idle replicas and prewarming, in milliseconds.
const IDLE_CHECK_MS: u64 = 250;
/// Memory bound for the recorded frames of finished attempts, in bytes.
const FINISHED_BYTES_MAX: u64 = 16 << 20;

/// State of one agent and the handlers of its events.
#[derive(Debug)]
pub struct AgentLoop {
    pub(super) daemon: DaemonSettings,
    pub(super) settings: AgentSettings,
    pub(super) borders: AgentBorders,
    pub(super) handle: AgentHandle,
    pub(super) clock: Clock,
    /// Random identity of this run of the agent; claims name it.
    pub(super) incarnation: u64,
    pub(super) attempts: Attempts,
    pub(super) claims: ClaimTracker,
    /// Claims of attempts that are queued or running.
    pub(super) open_claims: HashMap<AttemptRef, OpenClaim>,
    /// Connections that receive the frames of each unfinished attempt.
    pub(super) listeners: HashMap<AttemptRef, Vec<mpsc::UnboundedSender<Frame>>>,
    pub(super) queue: Queue<QueuedAttempt>,
    pub(super) running: HashMap<AttemptRef, RunningAttempt>,
    /// Whether the queue must be checked again, since an event may let a queued attempt start.
    pub(super) dispatch_due: bool,
    /// Smoothed time that an attempt runs on the endpoint; 0 before the first one ended.
    pub(super) service_time_ms: u64,
    /// Newest status of the engine; `None` before the first answer.
    pub(super) engine_status: Option<EngineStatus>,
    /// Clock reading when the newest handled status was requested; 0 before the first read ended.
    pub(super) engine_status_ms: u64,
    pub(super) endpoint_up: bool,
    pub(super) fence: Fence,
    pub(super) replicas: Replicas,
    /// Clock reading when the load of each replica and adapter finished.
    pub(super) loaded_ms: BTreeMap<ReservationOwner, u64>,
    pub(super) policy: Box<dyn ReplicaPolicy>,
    pub(super) idle_checked_ms: u64,
    /// Urgency of each replica's newest load that needed a permit; its permit requests read it.
    pub(super) load_urgencies: HashMap<ReplicaKey, watch::Sender<Urgency>>,
    /// Target of each model's newest attempt, for prewarming.
    pub(super) last_uses: HashMap<ModelName, LastUse>,
    pub(super) slots: Slots,
    /// Whether a read of all placement rows has failed.
    pub(super) slots_unreadable: bool,
    pub(super) slot_reads: SlotRowReads,
    /// Clock reading of the last try to release each slot.
    pub(super) slot_release_tries_ms: HashMap<ModelName, u64>,
    /// Consecutive ended orders that were paced locally, since no router granted a permit.
    pub(super) locally_paced_orders: u32,
    pub(super) vms: watch::Sender<Arc<[VmEntry]>>,
    pub(super) inventory: InventoryState,
    /// Inventory revision in force; the inventory watcher polls for newer ones.
    pub(super) revision: watch::Sender<u64>,
    pub(super) quarantined: HashSet<Digest>,
    pub(super) drain: Drain,
    pub(super) metrics: Metrics,
}

impl AgentLoop {
    /// Creates a loop with empty state and a fresh random incarnation.
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
            claims: ClaimTrackerConfig::new().build(incarnation),
            open_claims: HashMap::new(),
            attempts: Attempts::new(settings.finished_kept_ms, FINISHED_BYTES_MAX),
            listeners: HashMap::new(),
            queue: Queue::new(settings.queue_max, settings.queue_bytes_max),
            running: HashMap::new(),
            dispatch_due: false,
            service_time_ms: 0,
            engine_status: None,
            engine_status_ms: 0,
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
            slot_reads: SlotRowReads::default(),
            slot_release_tries_ms: HashMap::new(),
            locally_paced_orders: 0,
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

    /// Replaces the default policy for idle replicas, which is [`LearnedPolicy`].
    #[must_use]
    pub fn with_policy(mut self, policy: Box<dyn ReplicaPolicy>) -> Self {
        self.policy = policy;
        self
    }

    /// Handles events until the agent has drained or every handle is dropped.
    pub async fn run(mut self, mut events: mpsc::Receiver<AgentEvent>) {
        self.spawn_watchers();
        while let Some(event) = events.recv().await {
            self.on_event(event);
            while std::mem::take(&mut self.dispatch_due) {
                self.dispatch();
            }
            if self.has_drained() {
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
                tokio::spawn(watch_task::read_all_slots(table, handle.clone()));
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
                // Sending fails if the router has disconnected; then the reply is not needed.
                let _sent = reply.send(known);
            }
            AgentEvent::Cancel(attempt) => self.cancel(&attempt),
            AgentEvent::Output { attempt, payload } => self.output(&attempt, payload),
            AgentEvent::OrderEnded {
                order,
                result,
                took_ms,
                paced_locally,
            } => self.on_order_ended(order, result, took_ms, paced_locally),
            AgentEvent::EngineStatusRead { begun_ms, status } => {
                self.on_engine_status(begun_ms, status);
            }
            AgentEvent::ServiceProbed { up } => self.endpoint_up = up,
            AgentEvent::AllSlotsRead(result) => self.on_all_slots_read(result),
            AgentEvent::SlotRowRead {
                model,
                granted_version,
                result,
            } => self.on_slot_row_read(&model, granted_version, result),
            AgentEvent::SlotReleased { model, result } => self.on_slot_released(&model, result),
            AgentEvent::VmListRead(vms) => self.on_vm_list_read(vms),
            AgentEvent::InventoryRead(changes) => self.on_inventory_read(changes),
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
            AgentEvent::Drain => self.begin_drain("drain"),
        }
    }

    /// Handles the periodic tick: expiry, idle replicas, prewarming and slot releases.
    fn tick(&mut self) {
        let now_ms = self.clock.now_ms();
        self.attempts.forget(now_ms);
        self.expire_running(now_ms);
        if now_ms.saturating_sub(self.idle_checked_ms) >= IDLE_CHECK_MS {
            self.idle_checked_ms = now_ms;
            self.unload_idle_replicas(now_ms);
            self.prewarm(now_ms);
        }
        self.release_slots(now_ms);
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
