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

/// Root token of the operator, accepted by the admin API of every router.
pub const ROOT_TOKEN: &str = "harness-root-token";
/// VM group of all routers.
pub(super) const ROUTER_GROUP: &str = "entry";
pub(super) const ZONE: &str = "huehue-a";
/// Time within which every router has read a configuration change, in milliseconds.
const PROPAGATION_MS: u64 = 3_000;

/// Real routers and agents in one operating system process, with a fake platform.
///
/// VMs are numbered from 0: first the routers, then the agents with engines, then
/// the agents with services.
pub struct Harness {
    pub(super) config: HarnessConfig,
    /// Links between the processes, and their faults.
    pub network: Arc<Network>,
    /// Fake of the platform's table.
    pub table: Arc<FakeTable>,
    /// Fake of the platform's object store.
    pub objects: Arc<FakeObjectStore>,
    /// Fake of the platform's list of VMs.
    pub vms: Arc<FakeVmList>,
    /// Fake of the platform's weight store, shared by all engines.
    pub weights: Arc<FakeWeightStore>,
    /// History of the replicas on all engines.
    pub ledger: Arc<ReplicaLedger>,
    /// Fake engines, one for each agent with an engine.
    pub engines: Vec<FakeEngine>,
    /// Fake services, one for each agent with a service.
    pub services: Vec<FakeService>,
    processes: Vec<Process>,
}

impl Harness {
    /// Starts all processes.
    ///
    /// `engine_group` is the VM group of the agents with an engine, `service_group` that of
    /// the agents with a service.
    ///
    /// # Panics
    ///
    /// Panics if the daemon rejects the harness's settings.
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
            harness.add_process(process);
        }
        let endpoints = harness.config.engines + harness.config.services;
        for i in 0..endpoints {
            let group = if i < harness.config.engines {
                engine_group
            } else {
                service_group
            };
            let process = harness.agent_process(i, group.into());
            harness.add_process(process);
        }
        harness
    }

    /// Applies a configuration change through the first router and waits until all routers have it.
    ///
    /// # Panics
    ///
    /// Panics if the change is not accepted.
    pub async fn apply(&self, change: &Change) {
        let body = serde_json::to_string(change).expect("message types serialise to JSON");
        let request = CallerRequest::new(Method::POST, "/admin/v1/changes", ROOT_TOKEN, body);
        let answer = self.send_admin(0, &request).await.expect("router answers");
        assert!(answer.status.is_success(), "{}", answer.body);
        sleep(Duration::from_millis(PROPAGATION_MS)).await;
    }

    /// Sends a caller's request to the caller API of a router.
    ///
    /// # Errors
    ///
    /// Fails if the VM is not a router or no response arrives.
    pub async fn send(
        &self,
        router: usize,
        request: &CallerRequest,
    ) -> Result<CallerAnswer, SendError> {
        let process = &self.processes[router];
        send_to(process.caller_api.as_ref(), &process.gate, request).await
    }

    /// Sends an operator's request to the admin API of a router.
    ///
    /// # Errors
    ///
    /// Fails if the VM is not a router or no response arrives.
    pub async fn send_admin(
        &self,
        router: usize,
        request: &CallerRequest,
    ) -> Result<CallerAnswer, SendError> {
        let process = &self.processes[router];
        send_to(process.admin_api.as_ref(), &process.gate, request).await
    }

    /// Returns the VM number of the agent with index `i`.
    #[must_use]
    pub fn agent(&self, i: usize) -> usize {
        self.config.routers + i
    }

    /// Returns the id of a VM.
    #[must_use]
    pub fn vm(&self, process: usize) -> &VmId {
        &self.processes[process].vm
    }

    /// Returns the address at which other processes reach a VM.
    #[must_use]
    pub fn address(&self, process: usize) -> SocketAddr {
        self.processes[process].address
    }

    /// Returns the gate that controls the traffic of a VM's process.
    #[must_use]
    pub fn gate(&self, process: usize) -> &VmGate {
        &self.processes[process].gate
    }

    /// Kills a VM's process; the list of VMs stays unchanged.
    pub fn kill(&self, process: usize) {
        let process = &self.processes[process];
        process.gate.set(VmCondition::Dead);
        process.running.abort();
        self.network.unregister(process.address);
    }

    /// Kills a VM's process and starts a new one with the same id and address.
    pub fn restart(&mut self, process: usize) {
        self.kill(process);
        let fresh = if process < self.config.routers {
            self.router_process(process)
        } else {
            let group = self.processes[process].group.clone();
            self.agent_process(process - self.config.routers, group)
        };
        self.register(&fresh);
        self.processes[process] = fresh;
    }

    fn add_process(&mut self, process: Process) {
        self.vms.put(VmEntry {
            id: process.vm.clone(),
            address: process.address,
            zone: ZONE.into(),
            group: process.group.clone(),
            state: VmState::Live,
        });
        self.register(&process);
        self.processes.push(process);
    }

    fn register(&self, process: &Process) {
        let handler = Arc::clone(&process.internal_api);
        self.network
            .register(process.address, handler, process.gate.clone());
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
