//! Test environment of one agent: its fake engine, table, VM list and router, and
//! helpers that build and send attempts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicorystage_api::inventory::Class;
use chicorystage_api::peer::{
    AgentStatus, AttemptRef, PLACEMENT_ROW_PREFIX, PlacementAck, PlacementPush, PlacementRow, Slot,
    SlotState,
};
use chicorystage_api::refusal::{Outcome, RefusalCode};
use chicorystage_api::work::{AttemptRequest, Completion, Frame, Payload, SlotGrant, WorkSpec};
use chicorystage_borders::engine::Engine;
use chicorystage_borders::table::{CommitOutcome, Table, Transaction, Write};
use chicorystage_borders::vm_list::{VmEntry, VmState};
use chicorystage_core::token;
use chicorystage_testbed::fakes::{
    FakeEngine, FakeEngineConfig, FakeTable, FakeVmList, FakeWeightStore, ReplicaLedger,
};
use chicorystaged::agent::borders::{AgentBorders, Endpoint};
use chicorystaged::agent::event::AgentEvent;
use chicorystaged::agent::handle::AgentHandle;
use chicorystaged::agent::parts::AgentParts;
use chicorystaged::settings::{AgentSettings, DaemonSettings, EndpointKind};
use chicorystaged::timer::Clock;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::router::TestRouter;

pub const GIB: u64 = 1 << 30;
pub const VM: &str = "worker-1";
/// Time after which an agent has started, in milliseconds.
pub const START_MS: u64 = 1_500;
const QUEUE_MAX: u32 = 8;

/// A running agent and the fakes around it.
pub struct World {
    pub engine: FakeEngine,
    pub ledger: Arc<ReplicaLedger>,
    pub table: Arc<FakeTable>,
    pub vms: Arc<FakeVmList>,
    pub router: Arc<TestRouter>,
    pub handle: AgentHandle,
    pub running: JoinHandle<()>,
    attempts: u32,
}

/// The text that an attempt returned, and its final frame.
#[derive(Debug)]
pub struct Answer {
    pub text: String,
    pub last: Payload,
}

impl Answer {
    /// Returns the refusal's code and outcome; `None` if the attempt was not refused.
    pub fn refusal(&self) -> Option<(RefusalCode, Outcome)> {
        match &self.last {
            Payload::Refused(refusal) => Some((refusal.code, refusal.outcome)),
            _ => None,
        }
    }

    pub fn is_complete(&self) -> bool {
        matches!(self.last, Payload::End(_))
    }
}

impl World {
    /// Starts an agent whose VM holds a slot for each of `models`.
    pub async fn start(config: FakeEngineConfig, models: &[&str]) -> Self {
        Self::start_with_engine(config, models, |engine| Arc::new(engine)).await
    }

    /// Starts an agent that reaches its engine through `wrap`, which may add faults.
    pub async fn start_with_engine(
        config: FakeEngineConfig,
        models: &[&str],
        wrap: fn(FakeEngine) -> Arc<dyn Engine>,
    ) -> Self {
        let ledger = Arc::new(ReplicaLedger::new());
        let weights = Arc::new(FakeWeightStore::new());
        let engine = FakeEngine::with_shared(config, weights, Arc::clone(&ledger));
        let table = Arc::new(FakeTable::new());
        for model in models {
            write_placement(&table, model, &[(VM, SlotState::Held)]).await;
        }
        let vms = Arc::new(FakeVmList::new());
        vms.put(vm_entry("entry-1", "entry", 1));
        vms.put(vm_entry("entry-2", "entry", 2));
        vms.put(vm_entry("entry-3", "entry", 3));
        vms.put(vm_entry(VM, "colmena-llm", 4));
        let router = Arc::new(TestRouter::default());
        let parts = start_agent(wrap(engine.clone()), &table, &vms, &router);
        let world = Self {
            engine,
            ledger,
            table,
            vms,
            router,
            handle: parts.handle,
            running: parts.main_loop,
            attempts: 0,
        };
        sleep(Duration::from_millis(START_MS)).await;
        world
    }

    /// Aborts the agent and at once starts a new one on the same engine and table.
    pub fn restart(&mut self) {
        self.running.abort();
        let engine = Arc::new(self.engine.clone());
        let parts = start_agent(engine, &self.table, &self.vms, &self.router);
        self.handle = parts.handle;
        self.running = parts.main_loop;
    }

    /// Builds a completion request with a new request id.
    pub fn request(&mut self, model: &str) -> AttemptRequest {
        self.attempts += 1;
        let request_id = format!("r{}", self.attempts);
        AttemptRequest {
            request_id: request_id.as_str().into(),
            attempt: 1,
            caller: "field-agents".into(),
            weight: 1,
            class: Class::Standard,
            time_left_ms: 20_000,
            revision: 1,
            digest: token::sha256(request_id.as_bytes()),
            suspect: false,
            grant: None,
            claim: None,
            work: WorkSpec::Completion(completion(model)),
        }
    }

    /// Sends an attempt to the agent and returns its stream of frames.
    pub async fn send(&self, request: AttemptRequest) -> mpsc::UnboundedReceiver<Frame> {
        let (sender, frames) = mpsc::unbounded_channel();
        let event = AgentEvent::Start {
            request: Box::new(request),
            frames: sender,
        };
        self.handle.send(event).await;
        frames
    }

    /// Sends a completion request for a model and waits for its final frame.
    pub async fn run_completion(&mut self, model: &str) -> Answer {
        let request = self.request(model);
        collect_answer(self.send(request).await).await
    }

    pub async fn status(&self) -> AgentStatus {
        let status = self.handle.ask(|reply| AgentEvent::Status { reply }).await;
        status.expect("the agent is running")
    }

    /// Pushes one placement row to the agent and returns its acknowledgement.
    pub async fn push(&self, row_version: u64, row: PlacementRow) -> PlacementAck {
        let pushes = vec![PlacementPush { row_version, row }];
        let acks = self
            .handle
            .ask(|reply| AgentEvent::PushPlacements { pushes, reply })
            .await;
        acks.expect("the agent is running").remove(0)
    }
}

/// Collects an answer until its final frame.
pub async fn collect_answer(mut frames: mpsc::UnboundedReceiver<Frame>) -> Answer {
    let mut text = String::new();
    while let Some(frame) = frames.recv().await {
        match frame.payload {
            Payload::Token(token) => text.push_str(&token),
            last if last.is_final() => return Answer { text, last },
            _ => {}
        }
    }
    panic!("the stream ended without a final frame after {text:?}");
}

pub fn attempt_ref(request: &AttemptRequest) -> AttemptRef {
    AttemptRef {
        request_id: request.request_id.clone(),
        attempt: request.attempt,
    }
}

pub fn completion(model: &str) -> Completion {
    Completion {
        model: model.into(),
        version: "v1".into(),
        adapter: None,
        model_memory_bytes: 50 * GIB,
        adapter_memory_bytes: 0,
        prompt: "is lot 12 dry enough".into(),
        max_tokens: 20,
    }
}

/// Returns the completion of a request, for modification.
pub fn completion_mut(request: &mut AttemptRequest) -> &mut Completion {
    match &mut request.work {
        WorkSpec::Completion(completion) => completion,
        WorkSpec::Service(_) => unreachable!("this environment builds only completions"),
    }
}

pub fn grant(model: &str, row_version: u64) -> SlotGrant {
    SlotGrant {
        model: model.into(),
        row_version,
    }
}

pub fn placement_row(model: &str, slots: &[(&str, SlotState)]) -> PlacementRow {
    let slots = slots.iter().map(|(vm, state)| Slot {
        vm: (*vm).into(),
        state: *state,
    });
    PlacementRow {
        model: model.into(),
        slots: slots.collect(),
    }
}

/// Writes the placement row of a model and returns the row's version.
pub async fn write_placement(table: &FakeTable, model: &str, slots: &[(&str, SlotState)]) -> u64 {
    let value = serde_json::to_string(&placement_row(model, slots)).expect("rows serialise");
    let write = Write {
        key: format!("{PLACEMENT_ROW_PREFIX}{model}").into(),
        value: Some(value.into()),
    };
    let transaction = Transaction {
        id: "test".into(),
        checks: Vec::new(),
        writes: vec![write],
    };
    match table.commit(transaction).await {
        Ok(CommitOutcome::Applied { version }) => version,
        other => panic!("commit: {other:?}"),
    }
}

/// Reads the slots of a model from its placement row in the table.
pub async fn slots(table: &FakeTable, model: &str) -> Vec<Slot> {
    let row = table.get(&format!("{PLACEMENT_ROW_PREFIX}{model}")).await;
    let row = row.expect("the table is up").expect("the row exists");
    let row: PlacementRow = serde_json::from_str(&row.value).expect("rows parse");
    row.slots
}

pub fn address(i: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + i))
}

fn vm_entry(id: &str, group: &str, i: u16) -> VmEntry {
    VmEntry {
        id: id.into(),
        address: address(i),
        zone: "huehue-a".into(),
        group: group.into(),
        state: VmState::Live,
    }
}

fn start_agent(
    engine: Arc<dyn Engine>,
    table: &Arc<FakeTable>,
    vms: &Arc<FakeVmList>,
    router: &Arc<TestRouter>,
) -> AgentParts {
    let daemon = DaemonSettings {
        vm: VM.into(),
        zone: "huehue-a".into(),
        group: "colmena-llm".into(),
    };
    let settings = AgentSettings {
        endpoint_kind: EndpointKind::Engine,
        endpoint: address(9),
        router_group: "entry".into(),
        service_concurrent_max: 4,
        queue_max: QUEUE_MAX,
        queue_bytes_max: 1 << 20,
        order_timeout_ms: 60_000,
        service_timeout_ms: 1_000,
        finished_kept_ms: 60_000,
        drain_max_ms: 60_000,
    };
    let borders = AgentBorders {
        table: Arc::clone(table) as _,
        vm_list: Arc::clone(vms) as _,
        routers: Arc::clone(router) as _,
        endpoint: Endpoint::Engine(engine),
    };
    AgentParts::start(daemon, settings, borders, Clock::start())
}
