//! Emulated agents of one service that consist of a claim tracker only, with message
//! delays, message loss, restarts and removals.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use chicorystage_api::name::{Digest, VmId};
use chicorystage_api::peer::{
    AgentStatus, AttemptRef, ClaimQuery, ClaimState, PlacementAck, PlacementPush, QuarantineEntry,
};
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_api::work::{AttemptRequest, ClaimTicket, EndpointLoad};
use chicorystage_borders::link::{AgentLink, FrameStream};
use chicorystage_borders::table::Table;
use chicorystage_borders::vm_list::{VmEntry, VmState};
use chicorystage_borders::{BorderError, BorderErrorKind, BoxFuture};
use chicorystage_core::claim::{ClaimTracker, ClaimTrackerConfig};
use chicorystage_testbed::fakes::FakeTable;
use chicorystaged::router::claims::{
    ClaimDispatch, ClaimFlow, ClaimWriter, ClaimedAnswer, ClaimedCall, StartFailure,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Exclusive upper bound of the random delay of one message, in milliseconds.
const DELAY_MS_MAX: u64 = 40;

/// The agents of one service, the table of their claims and the injected faults.
pub struct World {
    pub table: Arc<FakeTable>,
    state: Mutex<State>,
}

struct State {
    rng: SmallRng,
    agents: HashMap<VmId, Agent>,
    next_incarnation: u64,
    runs: HashMap<String, u32>,
    loss_percent: u32,
}

struct Agent {
    tracker: ClaimTracker,
    listed: bool,
    up: bool,
}

impl World {
    pub fn new(seed: u64, agents: usize) -> Arc<Self> {
        let mut state = State {
            rng: SmallRng::seed_from_u64(seed),
            agents: HashMap::new(),
            next_incarnation: 1,
            runs: HashMap::new(),
            loss_percent: 0,
        };
        for i in 1..=agents {
            let incarnation = state.allocate_incarnation();
            let agent = Agent {
                tracker: ClaimTrackerConfig::new().build(incarnation),
                listed: true,
                up: true,
            };
            state
                .agents
                .insert(VmId::from(format!("worker-{i}")), agent);
        }
        Arc::new(Self {
            table: Arc::new(FakeTable::new()),
            state: Mutex::new(state),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub fn set_loss_percent(&self, percent: u32) {
        self.lock().loss_percent = percent;
    }

    /// Returns how often calls with this body ran on any agent.
    pub fn runs(&self, body: &str) -> u32 {
        self.lock().runs.get(body).copied().unwrap_or(0)
    }

    /// Replaces an agent by a new incarnation, whose claim tracker is empty.
    pub fn restart(&self, vm: &str) {
        let mut state = self.lock();
        let incarnation = state.allocate_incarnation();
        state.agents.get_mut(vm).unwrap().tracker = ClaimTrackerConfig::new().build(incarnation);
    }

    /// Stops an agent and removes its VM from the list.
    pub fn remove(&self, vm: &str) {
        let mut state = self.lock();
        let agent = state.agents.get_mut(vm).unwrap();
        agent.listed = false;
        agent.up = false;
    }

    pub fn random(&self, bound: u64) -> u64 {
        self.lock().rng.random_range(0..bound)
    }

    async fn delay(&self) {
        let delay_ms = self.random(DELAY_MS_MAX);
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }

    fn loses_message(&self) -> bool {
        let mut state = self.lock();
        let percent = state.loss_percent;
        state.rng.random_range(0..100) < percent
    }

    /// Runs an action on the agent at an address, or fails if it is unreachable.
    fn with_agent<T>(
        &self,
        address: SocketAddr,
        action: impl FnOnce(&mut Agent) -> T,
    ) -> Result<T, BorderError> {
        let mut state = self.lock();
        let vm = vm_at(address);
        match state.agents.get_mut(&vm) {
            Some(agent) if agent.up => Ok(action(agent)),
            _ => Err(BorderError::new(
                BorderErrorKind::NotDelivered,
                "no agent at this address",
            )),
        }
    }
}

impl State {
    fn allocate_incarnation(&mut self) -> u64 {
        self.next_incarnation += 1;
        self.next_incarnation
    }
}

pub fn address_of(vm: &VmId) -> SocketAddr {
    let number: u16 = vm.as_str().rsplit('-').next().unwrap().parse().unwrap();
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn vm_at(address: SocketAddr) -> VmId {
    VmId::from(format!("worker-{}", address.port()))
}

/// The link from routers to the agents of a [`World`].
pub struct WorldLink(pub Arc<World>);

impl AgentLink for WorldLink {
    fn start(
        &self,
        _agent: SocketAddr,
        _request: AttemptRequest,
    ) -> BoxFuture<'_, Result<FrameStream, BorderError>> {
        unimplemented!("calls are dispatched through ClaimDispatch")
    }

    fn resume(
        &self,
        _agent: SocketAddr,
        _attempt: AttemptRef,
        _offset: u64,
    ) -> BoxFuture<'_, Result<FrameStream, BorderError>> {
        unimplemented!("attempts are followed through ClaimDispatch")
    }

    fn cancel(
        &self,
        _agent: SocketAddr,
        _attempt: AttemptRef,
    ) -> BoxFuture<'_, Result<(), BorderError>> {
        Box::pin(async { Ok(()) })
    }

    fn query_claim(
        &self,
        agent: SocketAddr,
        query: ClaimQuery,
    ) -> BoxFuture<'_, Result<ClaimState, BorderError>> {
        Box::pin(async move {
            self.0.delay().await;
            let state = self
                .0
                .with_agent(agent, |agent| agent.tracker.query(&query))?;
            self.0.delay().await;
            if self.0.loses_message() {
                return Err(BorderError::new(BorderErrorKind::Unknown, "answer lost"));
            }
            Ok(state)
        })
    }

    fn push_placements(
        &self,
        _agent: SocketAddr,
        _pushes: Vec<PlacementPush>,
    ) -> BoxFuture<'_, Result<Vec<PlacementAck>, BorderError>> {
        Box::pin(async { Ok(Vec::new()) })
    }

    fn push_quarantine(
        &self,
        _agent: SocketAddr,
        _entries: Vec<QuarantineEntry>,
    ) -> BoxFuture<'_, Result<(), BorderError>> {
        Box::pin(async { Ok(()) })
    }

    fn status(&self, agent: SocketAddr) -> BoxFuture<'_, Result<AgentStatus, BorderError>> {
        Box::pin(async move {
            self.0.delay().await;
            let incarnation = self
                .0
                .with_agent(agent, |agent| agent.tracker.incarnation())?;
            Ok(AgentStatus {
                vm: vm_at(agent),
                zone: "zone".into(),
                group: "ledger".into(),
                incarnation,
                revision: 0,
                leaving: false,
                endpoint_up: true,
                memory_total_bytes: 0,
                memory_reserved_bytes: 0,
                replicas: Vec::new(),
                cached_memory: Vec::new(),
                cached_disk: Vec::new(),
                slots: Vec::new(),
                load: EndpointLoad::default(),
            })
        })
    }

    fn drain(&self, _agent: SocketAddr) -> BoxFuture<'_, Result<(), BorderError>> {
        Box::pin(async { Ok(()) })
    }
}

/// Dispatches one call from one router.
pub struct WorldDispatch {
    pub world: Arc<World>,
    pub call: ClaimedCall,
    /// Pause between the claim and its dispatch, in milliseconds.
    pub pause_ms: u64,
}

impl ClaimDispatch for WorldDispatch {
    type Opened = AttemptRef;

    fn time_left_ms(&self) -> u64 {
        1
    }

    fn choose<'a>(&'a self, avoid: &'a [VmId]) -> BoxFuture<'a, Result<VmEntry, Refusal>> {
        Box::pin(async move {
            let state = self.world.lock();
            let mut listed: Vec<&VmId> = state
                .agents
                .iter()
                .filter(|(_, agent)| agent.listed)
                .map(|(vm, _)| vm)
                .collect();
            listed.sort();
            let vm = listed.into_iter().find(|vm| !avoid.contains(vm)).cloned();
            vm.map(|vm| entry(&vm))
                .ok_or_else(|| Refusal::not_run(RefusalCode::NoEndpoint, "none"))
        })
    }

    fn find<'a>(&'a self, vm: &'a VmId) -> BoxFuture<'a, Result<Option<VmEntry>, Refusal>> {
        Box::pin(async move {
            let listed = self
                .world
                .lock()
                .agents
                .get(vm)
                .is_some_and(|agent| agent.listed);
            Ok(listed.then(|| entry(vm)))
        })
    }

    fn start<'a>(
        &'a self,
        vm: &'a VmEntry,
        ticket: ClaimTicket,
    ) -> BoxFuture<'a, Result<AttemptRef, StartFailure>> {
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(self.pause_ms)).await;
            self.world.delay().await;
            if self.world.loses_message() {
                return Err(StartFailure::Unknown);
            }
            let attempt = AttemptRef {
                request_id: self.call.request_id.clone(),
                attempt: ticket.epoch,
            };
            let caller = self.call.caller.clone();
            let begin_result = self.world.with_agent(vm.address, |agent| {
                agent.tracker.begin(&caller, &ticket, attempt.clone())
            });
            match begin_result {
                Err(_unreachable) => return Err(StartFailure::NotDelivered),
                Ok(Err(rejection)) => {
                    let code = match rejection {
                        chicorystage_core::claim::ClaimRejection::Stale => RefusalCode::StaleClaim,
                        chicorystage_core::claim::ClaimRejection::OtherIncarnation => {
                            RefusalCode::WrongIncarnation
                        }
                    };
                    return Err(StartFailure::Refused(Refusal::not_run(code, "rejected")));
                }
                Ok(Ok(())) => {}
            }
            *self
                .world
                .lock()
                .runs
                .entry(self.call.body_sha256.to_string())
                .or_default() += 1;
            self.world.delay().await;
            let _finished = self.world.with_agent(vm.address, |agent| {
                agent.tracker.finish(&caller, &self.call.key);
            });
            if self.world.loses_message() {
                return Err(StartFailure::Unknown);
            }
            Ok(attempt)
        })
    }

    fn attach<'a>(
        &'a self,
        _vm: &'a VmEntry,
        attempt: AttemptRef,
    ) -> BoxFuture<'a, Result<AttemptRef, StartFailure>> {
        Box::pin(async move {
            self.world.delay().await;
            if self.world.loses_message() {
                return Err(StartFailure::Unknown);
            }
            Ok(attempt)
        })
    }
}

fn entry(vm: &VmId) -> VmEntry {
    VmEntry {
        id: vm.clone(),
        address: address_of(vm),
        zone: "zone".into(),
        group: "ledger".into(),
        state: VmState::Live,
    }
}

/// Returns a call of the caller `ledger-app`.
pub fn call(request_id: &str, key: &str, body: &str) -> ClaimedCall {
    ClaimedCall {
        caller: "ledger-app".into(),
        key: key.into(),
        body_sha256: Digest::from(body),
        request_id: request_id.into(),
    }
}

/// Sends a call through a router that pauses between the claim and its dispatch.
pub async fn send(
    world: &Arc<World>,
    call: ClaimedCall,
    pause_ms: u64,
) -> Result<ClaimedAnswer<AttemptRef>, Refusal> {
    let router = Router::new(world, &call, pause_ms);
    router.flow(call).run().await
}

/// Returns a refusal decided before the claim was read, with its outcome corrected.
pub async fn correct_outcome(world: &Arc<World>, call: ClaimedCall, refusal: Refusal) -> Refusal {
    let router = Router::new(world, &call, 0);
    router.flow(call).correct_outcome(refusal).await
}

/// The parts of one router that run one call.
struct Router {
    table: Arc<dyn Table>,
    writer: ClaimWriter,
    link: WorldLink,
    dispatch: WorldDispatch,
}

impl Router {
    fn new(world: &Arc<World>, call: &ClaimedCall, pause_ms: u64) -> Self {
        let table: Arc<dyn Table> = Arc::clone(&world.table) as Arc<dyn Table>;
        Self {
            writer: ClaimWriter::start(Arc::clone(&table)),
            table,
            link: WorldLink(Arc::clone(world)),
            dispatch: WorldDispatch {
                world: Arc::clone(world),
                call: call.clone(),
                pause_ms,
            },
        }
    }

    fn flow(&self, call: ClaimedCall) -> ClaimFlow<'_, WorldDispatch> {
        ClaimFlow::new(&*self.table, &self.link, &self.writer, &self.dispatch, call)
    }
}
