//! Starts single processes of a harness.
//!
//! Each process gets real settings and the in-memory platform, links and endpoint
//! in place of network clients.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use chicorystage_api::name::{GroupName, VmId};
use chicorystage_core::token;
use chicorystaged::agent::borders::{AgentBorders, Endpoint};
use chicorystaged::agent::parts::AgentParts;
use chicorystaged::router::borders::RouterBorders;
use chicorystaged::router::parts::RouterParts;
use chicorystaged::settings::{Role, Settings};
use chicorystaged::timer::Clock;

use crate::harness::gate::VmGate;
use crate::harness::gated_engine::GatedEngine;
use crate::harness::gated_platform::GatedPlatform;
use crate::harness::gated_service::GatedService;
use crate::harness::process::Process;
use crate::harness::system::{ROUTER_GROUP, ZONE};
use crate::harness::{Harness, MemoryAgentLink, MemoryRouterLink, ROOT_TOKEN};
use crate::settings_file::{DaemonSettingsFile, RoleSettings};

const FIRST_PORT: u16 = 7_000;

/// Placeholder for addresses that settings require but the harness never binds.
const UNUSED_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

impl Harness {
    pub(super) fn router_process(&self, i: usize) -> Process {
        let vm = VmId::from(format!("entry-{}", i + 1));
        let address = address(i);
        let role = RoleSettings::Router {
            caller_api: UNUSED_ADDRESS,
            admin_api: UNUSED_ADDRESS,
            root_token_sha256: token::sha256(ROOT_TOKEN.as_bytes()),
        };
        let settings = settings(&vm, ROUTER_GROUP, role);
        let Role::Router(role) = settings.role else {
            unreachable!("the settings name a router");
        };
        let platform = self.platform();
        let gate = platform.gate.clone();
        let borders = RouterBorders {
            table: Arc::clone(&platform) as _,
            object_store: Arc::clone(&platform) as _,
            vm_list: platform,
            agents: Arc::new(self.agent_link(&vm, &gate)),
            routers: Arc::new(self.router_link(&vm, &gate)),
        };
        let parts = RouterParts::start(&settings.daemon, &role, borders, Clock::start());
        Process::router(vm, address, gate, parts)
    }

    pub(super) fn agent_process(&self, i: usize, group: GroupName) -> Process {
        let vm = VmId::from(format!("worker-{}", i + 1));
        let address = address(self.config.routers + i);
        let platform = self.platform();
        let gate = platform.gate.clone();
        let (kind, endpoint) = self.endpoint(i, &gate);
        let role = RoleSettings::Agent {
            kind: kind.to_owned(),
            endpoint: UNUSED_ADDRESS,
            router_group: ROUTER_GROUP.to_owned(),
        };
        let settings = settings(&vm, group.as_str(), role);
        let Role::Agent(role) = settings.role else {
            unreachable!("the settings name an agent");
        };
        let borders = AgentBorders {
            table: Arc::clone(&platform) as _,
            vm_list: platform,
            routers: Arc::new(self.router_link(&vm, &gate)),
            endpoint,
        };
        let parts = AgentParts::start(settings.daemon, role, borders, Clock::start());
        Process::agent(vm, group, address, gate, parts)
    }

    fn endpoint(&self, i: usize, gate: &VmGate) -> (&'static str, Endpoint) {
        let gate = gate.clone();
        if let Some(engine) = self.engines.get(i).cloned() {
            let engine = GatedEngine { gate, engine };
            return ("engine", Endpoint::Engine(Arc::new(engine)));
        }
        let service = self.services[i - self.engines.len()].clone();
        let service = GatedService { gate, service };
        ("service", Endpoint::Service(Arc::new(service)))
    }

    fn platform(&self) -> Arc<GatedPlatform> {
        Arc::new(GatedPlatform {
            gate: VmGate::new(),
            table: Arc::clone(&self.table),
            objects: Arc::clone(&self.objects),
            vms: Arc::clone(&self.vms),
        })
    }

    fn agent_link(&self, vm: &VmId, gate: &VmGate) -> MemoryAgentLink {
        MemoryAgentLink::new(Arc::clone(&self.network), vm.clone(), gate.clone())
    }

    fn router_link(&self, vm: &VmId, gate: &VmGate) -> MemoryRouterLink {
        MemoryRouterLink::new(Arc::clone(&self.network), vm.clone(), gate.clone())
    }
}

fn address(process: usize) -> SocketAddr {
    let offset = u16::try_from(process).expect("a harness has fewer processes than ports");
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + offset))
}

fn settings(vm: &VmId, group: &str, role: RoleSettings) -> Settings {
    let file = DaemonSettingsFile {
        vm: vm.to_string(),
        zone: ZONE.to_owned(),
        group: group.to_owned(),
        internal: UNUSED_ADDRESS,
        health: UNUSED_ADDRESS,
        platform: UNUSED_ADDRESS,
        role,
    };
    Settings::parse("harness", &file.to_string())
        .unwrap_or_else(|findings| panic!("settings of the harness: {findings:?}"))
}
