//! Clients of the platform and of other processes, as trait objects.

use std::fmt;
use std::sync::Arc;

use chicorystage_borders::http::{
    HttpObjectStore, HttpTable, HttpVmList, RpcAgentLink, RpcRouterLink,
};
use chicorystage_borders::link::{AgentLink, RouterLink};
use chicorystage_borders::object_store::ObjectStore;
use chicorystage_borders::table::Table;
use chicorystage_borders::vm_list::VmList;

use crate::settings::PlatformSettings;

/// Timeout of a control call between processes, in milliseconds.
const LINK_TIMEOUT_MS: u64 = 2_000;
/// Timeout of a long poll between processes, in milliseconds.
const POLL_TIMEOUT_MS: u64 = 30_000;

/// Clients that a router uses; tests replace them by fakes.
#[derive(Clone)]
pub struct RouterBorders {
    /// Client of the platform's table.
    pub table: Arc<dyn Table>,
    /// Client of the platform's object store.
    pub object_store: Arc<dyn ObjectStore>,
    /// Client of the platform's list of VMs.
    pub vm_list: Arc<dyn VmList>,
    /// Control calls to agents.
    pub agents: Arc<dyn AgentLink>,
    /// Control calls to other routers.
    pub routers: Arc<dyn RouterLink>,
}

impl RouterBorders {
    /// Creates the HTTP and RPC clients for a deployment's addresses and timeout.
    #[must_use]
    pub fn connect(platform: &PlatformSettings) -> Self {
        Self {
            table: Arc::new(HttpTable::new(platform.table, platform.timeout_ms)),
            object_store: Arc::new(HttpObjectStore::new(
                platform.object_store,
                platform.timeout_ms,
            )),
            vm_list: Arc::new(HttpVmList::new(platform.vm_list, platform.timeout_ms)),
            agents: Arc::new(RpcAgentLink::new(LINK_TIMEOUT_MS)),
            routers: Arc::new(RpcRouterLink::new(LINK_TIMEOUT_MS, POLL_TIMEOUT_MS)),
        }
    }
}

impl fmt::Debug for RouterBorders {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RouterBorders").finish_non_exhaustive()
    }
}
