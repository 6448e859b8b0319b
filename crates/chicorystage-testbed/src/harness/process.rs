use std::net::SocketAddr;
use std::sync::Arc;

use chicorystage_api::name::{GroupName, VmId};
use chicorystage_borders::http::Handler;
use chicorystaged::agent::parts::AgentParts;
use chicorystaged::router::parts::RouterParts;
use tokio::task::AbortHandle;

use crate::harness::gate::VmGate;

/// One simulated process of a harness: a router or an agent on a VM of its own.
pub(super) struct Process {
    pub(super) vm: VmId,
    pub(super) group: GroupName,
    pub(super) address: SocketAddr,
    pub(super) gate: VmGate,
    pub(super) internal_api: Arc<dyn Handler>,
    pub(super) caller_api: Option<Arc<dyn Handler>>,
    pub(super) admin_api: Option<Arc<dyn Handler>>,
    pub(super) running: AbortHandle,
}

impl Process {
    pub(super) fn router(vm: VmId, address: SocketAddr, gate: VmGate, parts: RouterParts) -> Self {
        Self {
            vm,
            group: super::system::ROUTER_GROUP.into(),
            address,
            gate,
            internal_api: parts.internal_api,
            caller_api: Some(parts.caller_api),
            admin_api: Some(parts.admin_api),
            running: parts.main_loop.abort_handle(),
        }
    }

    pub(super) fn agent(
        vm: VmId,
        group: GroupName,
        address: SocketAddr,
        gate: VmGate,
        parts: AgentParts,
    ) -> Self {
        Self {
            vm,
            group,
            address,
            gate,
            internal_api: parts.internal_api,
            caller_api: None,
            admin_api: None,
            running: parts.main_loop.abort_handle(),
        }
    }
}
