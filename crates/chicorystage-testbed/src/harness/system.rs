use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicorystage_api::inventory::Change;
use chicorystage_api::name::VmId;
use chicorystage_borders::http::Handler;
use chicorystage_borders::vm_list::{VmEntry, VmState};
use http::Method;
use tokio::time::sleep;

use crate::calls::{CallerAnswer, CallerRequest, SendError, send};
use crate::fakes::{
    FakeEngine, FakeObjectStore, FakeService, FakeTable, FakeVmList, FakeWeightStore, ReplicaLedger,
};
use crate::harness::exchange::connect;
use crate::harness::gate::{VmCondition, VmGate};
use crate::harness::process::Process;
use crate::harness::{HarnessConfig, Network};

/// Token of the harness's first operator.
pub const ROOT_TOKEN: &str = "harness-root-token";
/// Group of the routers.
pub(super) const ROUTER_GROUP: &str = "entry";
pub(super) const ZONE: &str = "huehue-a";
/// Time in which every router reads a change, in milliseconds.
const SPREAD_MS: u64 = 3_000;

/// Real routers and agents in one process, with fakes around them.
///
/// Routers come first in the numbering of VMs, then agents with engines, then
/// agents with services.
pub struct Harness {
    pub(super) config: HarnessConfig,
    /// Links between the processes.
    pub network: Arc<Network>,
    /// The platform's table.
    pub table: Arc<FakeTable>,
    /// The platform's object store.
    pub objects: Arc<FakeObjectStore>,
    /// The platform's list of VMs.
    pub vms: Arc<FakeVmList>,
    /// The platform's weight store.
    pub weights: Arc<FakeWeightStore>,
    /// Replicas on all engines over time.
    pub ledger: Arc<ReplicaLedger>,
    /// Engines, one for each agent of the first kind.
    pub engines: Vec<FakeEngine>,
    /// Services, one for each agent of the second kind.
    pub services: Vec<FakeService>,
    processes: Vec<Process>,
}

impl Harness {
    /// Starts all processes; engines are of group `engine_group`, services of `service_group`.
    ///
    /// # Panics
    ///
    /// Panics where the daemon refuses the harness's settings.
    #[must_use]
    pub fn start(config: HarnessConfig, engine_group: &str, service_group: &str) -> Self {
        let weights = Arc::new(FakeWeightStore::new());
        let ledger = Arc::new(ReplicaLedger::new());
        let engine = || {
            let (weights, ledger) = (Arc::clone(&weights), Arc::clone(&ledger));
            FakeEngine::with_shared(config.engine.clone(), weights, ledger)
        };
        let mut harness = Self {
            network: Arc::new(Network::new(config.seed)),
            table: Arc::default(),
            objects: Arc::default(),
            vms: Arc::default(),
            engines: (0..config.engines).map(|_| engine()).collect(),
            services: (0..config.services)
                .map(|_| FakeService::new(config.service_ms))
                .collect(),
            weights,
            ledger,
            processes: Vec::new(),
            config,
        };
        for i in 0..harness.config.routers {
            let process = harness.router_process(i);
            harness.add(process);
        }
        let endpoints = harness.config.engines + harness.config.services;
        for i in 0..endpoints {
            let group = if i < harness.config.engines {
                engine_group
            } else {
                service_group
            };
            let process = harness.agent_process(i, group.into());
            harness.add(process);
        }
        harness
    }

    /// Applies a change through a router's admin API and waits until it has spread.
    ///
    /// # Panics
    ///
    /// Panics where the change is not accepted.
    pub async fn apply(&self, change: &Change) {
        let body = serde_json::to_string(change).expect("message types serialise to JSON");
        let request = CallerRequest::new(Method::POST, "/admin/v1/changes", ROOT_TOKEN, body);
        let answer = self.send_admin(0, &request).await.expect("router answers");
        assert!(answer.status.is_success(), "{}", answer.body);
        sleep(Duration::from_millis(SPREAD_MS)).await;
    }

    /// Sends a caller's request to a router.
    ///
    /// # Errors
    ///
    /// Fails where no response came.
    pub async fn send(
        &self,
        router: usize,
        request: &CallerRequest,
    ) -> Result<CallerAnswer, SendError> {
        let process = &self.processes[router];
        send_to(process.caller_api.as_ref(), &process.gate, request).await
    }

    /// Sends an operator's request to a router.
    ///
    /// # Errors
    ///
    /// Fails where no response came.
    pub async fn send_admin(
        &self,
        router: usize,
        request: &CallerRequest,
    ) -> Result<CallerAnswer, SendError> {
        let process = &self.processes[router];
        send_to(process.admin_api.as_ref(), &process.gate, request).await
    }

    /// Returns the number of the VM of an agent.
    #[must_use]
    pub fn agent(&self, i: usize) -> usize {
        self.config.routers + i
    }

    /// Returns the identity of a VM.
    #[must_use]
    pub fn vm(&self, process: usize) -> &VmId {
        &self.processes[process].vm
    }

    /// Returns the internal address of a VM.
    #[must_use]
    pub fn address(&self, process: usize) -> SocketAddr {
        self.processes[process].address
    }

    /// Returns the gate of a VM's traffic.
    #[must_use]
    pub fn gate(&self, process: usize) -> &VmGate {
        &self.processes[process].gate
    }

    /// Kills a VM's process; the list of VMs does not learn of it.
    pub fn kill(&self, process: usize) {
        let process = &self.processes[process];
        process.gate.set(VmCondition::Dead);
        process.running.abort();
        self.network.remove(process.address);
    }

    /// Starts a VM's process anew.
    pub fn restart(&mut self, process: usize) {
        self.kill(process);
        let fresh = if process < self.config.routers {
            self.router_process(process)
        } else {
            let group = self.processes[process].group.clone();
            self.agent_process(process - self.config.routers, group)
        };
        self.listen(&fresh);
        self.processes[process] = fresh;
    }

    fn add(&mut self, process: Process) {
        self.vms.put(VmEntry {
            id: process.vm.clone(),
            address: process.address,
            zone: ZONE.into(),
            group: process.group.clone(),
            state: VmState::Live,
        });
        self.listen(&process);
        self.processes.push(process);
    }

    fn listen(&self, process: &Process) {
        let handler = Arc::clone(&process.internal_api);
        self.network
            .put(process.address, handler, process.gate.clone());
    }
}

impl fmt::Debug for Harness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Harness")
            .field("config", &self.config)
            .finish_non_exhaustive()
    }
}

async fn send_to(
    api: Option<&Arc<dyn Handler>>,
    gate: &VmGate,
    request: &CallerRequest,
) -> Result<CallerAnswer, SendError> {
    let Some(api) = api else {
        let detail = "an agent has no such API".to_owned();
        return Err(SendError::NotConnected(detail));
    };
    send(connect(Arc::clone(api), gate.clone()), request).await
}
