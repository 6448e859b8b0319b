//! Clients of the services outside the agent, as trait objects.
//!
//! A deployment uses the HTTP and JSON-RPC clients; tests pass in stubs.

use std::fmt;
use std::sync::Arc;

use chicorystage_borders::engine::Engine;
use chicorystage_borders::http::{HttpEngine, HttpService, HttpTable, HttpVmList, RpcRouterLink};
use chicorystage_borders::link::RouterLink;
use chicorystage_borders::service::Service;
use chicorystage_borders::table::Table;
use chicorystage_borders::vm_list::VmList;

use crate::settings::{AgentSettings, EndpointKind, PlatformSettings};

/// Timeout of a status or control call to an endpoint, in milliseconds.
const ENDPOINT_TIMEOUT_MS: u64 = 2_000;
/// Timeout of a control call to a router, in milliseconds.
const LINK_TIMEOUT_MS: u64 = 2_000;
/// Timeout of a long poll of a router, in milliseconds.
const POLL_TIMEOUT_MS: u64 = 30_000;

/// Clients of the table, the list of VMs, the routers and the endpoint.
#[derive(Clone)]
pub struct AgentBorders {
    /// The platform's table, which stores the placement rows.
    pub table: Arc<dyn Table>,
    /// The platform's list of VMs with their states and addresses.
    pub vm_list: Arc<dyn VmList>,
    /// Client for calls to any router.
    pub routers: Arc<dyn RouterLink>,
    /// The endpoint that this agent manages.
    pub endpoint: Endpoint,
}

/// Client of the endpoint that an agent manages.
#[derive(Clone)]
pub enum Endpoint {
    /// A model engine: runs completions and obeys load and unload orders.
    Engine(Arc<dyn Engine>),
    /// A plain service: runs calls and has no replicas.
    Service(Arc<dyn Service>),
}

impl AgentBorders {
    /// Creates the network clients of a running deployment, without connecting yet.
    #[must_use]
    pub fn connect(platform: &PlatformSettings, settings: &AgentSettings) -> Self {
        let endpoint = match settings.endpoint_kind {
            EndpointKind::Engine => Endpoint::Engine(Arc::new(HttpEngine::new(
                settings.endpoint,
                ENDPOINT_TIMEOUT_MS,
                settings.order_timeout_ms,
            ))),
            EndpointKind::Service => Endpoint::Service(Arc::new(HttpService::new(
                settings.endpoint,
                settings.service_timeout_ms,
            ))),
        };
        Self {
            table: Arc::new(HttpTable::new(platform.table, platform.timeout_ms)),
            vm_list: Arc::new(HttpVmList::new(platform.vm_list, platform.timeout_ms)),
            routers: Arc::new(RpcRouterLink::new(LINK_TIMEOUT_MS, POLL_TIMEOUT_MS)),
            endpoint,
        }
    }
}

impl fmt::Debug for AgentBorders {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AgentBorders").finish_non_exhaustive()
    }
}

impl fmt::Debug for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Engine(_) => "Engine",
            Self::Service(_) => "Service",
        })
    }
}
