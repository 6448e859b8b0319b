use serde::{Deserialize, Serialize};

use crate::name::{GroupName, VmId, ZoneName};
use crate::peer::{AgentStatus, QuarantineEntry, RouterStatus};

/// State of a deployment as collected by one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeploymentStatus {
    /// Inventory revision in force at the router that collected the state.
    pub revision: u64,
    /// Reports on the routers in the platform's list of VMs.
    pub routers: Vec<RouterReport>,
    /// Reports on the agents in the platform's list of VMs.
    pub agents: Vec<AgentReport>,
    /// Quarantined digests of requests that crashed endpoints.
    pub quarantine: Vec<QuarantineEntry>,
}

/// State of one listed router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterReport {
    /// VM of the router.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Whether the platform's list marks the VM as leaving.
    pub listed_leaving: bool,
    /// Its state; `None` if it did not answer in time.
    pub status: Option<RouterStatus>,
}

/// State of one listed agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// VM of the agent.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Group of the agent's endpoint.
    pub group: GroupName,
    /// Whether the platform's list marks the VM as leaving.
    pub listed_leaving: bool,
    /// Its state; `None` if it did not answer in time.
    pub status: Option<AgentStatus>,
}
