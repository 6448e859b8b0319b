use std::net::SocketAddr;

use chicorystage_api::name::{GroupName, VmId, ZoneName};
use serde::{Deserialize, Serialize};

/// One VM of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Identity, never reused.
    pub id: VmId,
    /// Internal address of the system's process on the VM.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Group of VMs of one purpose: the routers, or one fleet of endpoints.
    pub group: GroupName,
    /// Whether the VM is to stay.
    pub state: VmState,
}

/// Whether a VM is to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is up as far as the platform knows.
    Live,
    /// The VM was told to go and takes no new work.
    Leaving,
}
