//! What a router talks to, as trait objects.

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

/// Longest control call between processes, in milliseconds.
const LINK_TIMEOUT_MS: u64 = 2_000;
/// Longest long poll between processes, in milliseconds.
const POLL_TIMEOUT_MS: u64 = 30_000;

/// What a router talks to.
#[derive(Clone)]
pub struct RouterBorders {
    /// The platform's table.
    pub table: Arc<dyn Table>,
    /// The platform's object store.
    pub object_store: Arc<dyn ObjectStore>,
    /// The platform's list of VMs.
    pub vm_list: Arc<dyn VmList>,
    /// Agents.
    pub agents: Arc<dyn AgentLink>,
    /// Other routers.
    pub routers: Arc<dyn RouterLink>,
}

impl RouterBorders {
    /// Creates the clients of a running deployment.
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
