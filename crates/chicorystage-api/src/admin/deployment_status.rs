use serde::{Deserialize, Serialize};

use crate::name::{GroupName, VmId, ZoneName};
use crate::peer::{AgentStatus, QuarantineEntry, RouterStatus};

/// State of a deployment as one router sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeploymentStatus {
    /// Inventory revision in force at the router that answers.
    pub revision: u64,
    /// Listed routers.
    pub routers: Vec<RouterReport>,
    /// Listed agents.
    pub agents: Vec<AgentReport>,
    /// Digests in quarantine.
    pub quarantine: Vec<QuarantineEntry>,
}

/// What one router said.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterReport {
    /// VM of the router.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Whether the list says that the VM is leaving.
    pub listed_leaving: bool,
    /// Its state; none where it did not answer in time.
    pub status: Option<RouterStatus>,
}

/// What one agent said.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// VM of the agent.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Group of the endpoint.
    pub group: GroupName,
    /// Whether the list says that the VM is leaving.
    pub listed_leaving: bool,
    /// Its state; none where it did not answer in time.
    pub status: Option<AgentStatus>,
}
