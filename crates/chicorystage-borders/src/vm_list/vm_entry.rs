use std::net::SocketAddr;

use chicorystage_api::name::{GroupName, VmId, ZoneName};
use serde::{Deserialize, Serialize};

/// One VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Identity of the VM, never reused.
    pub id: VmId,
    /// Internal address of the system's process on the VM.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Group of VMs with one purpose: the routers, or one fleet of endpoints.
    pub group: GroupName,
    /// Whether the platform keeps the VM or has asked it to leave.
    pub state: VmState,
}

/// Whether the platform keeps a VM or has asked it to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The platform considers the VM up.
    Live,
    /// The platform asked the VM to leave; the VM accepts no new work.
    Leaving,
}
