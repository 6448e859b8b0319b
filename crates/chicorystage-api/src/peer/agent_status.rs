use serde::{Deserialize, Serialize};

use crate::name::{AdapterName, GroupName, ModelName, VersionName, VmId, ZoneName};
use crate::work::EndpointLoad;

/// Slots, replicas, memory and load of one agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// VM of the agent and its endpoint.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Group of the endpoint.
    pub group: GroupName,
    /// Number of this run of the agent process; never reused on a VM.
    pub incarnation: u64,
    /// Inventory revision that the agent enforces.
    pub revision: u64,
    /// Whether the VM is draining and will leave the deployment.
    pub leaving: bool,
    /// Whether the engine or service answers its health check.
    pub endpoint_up: bool,
    /// Accelerator memory of the endpoint, in bytes; 0 for a plain service.
    pub memory_total_bytes: u64,
    /// Memory reserved for replicas that are loaded, loading or unresolved, in bytes.
    pub memory_reserved_bytes: u64,
    /// Replicas and their adapters.
    pub replicas: Vec<ReplicaStatus>,
    /// Models whose weights are cached in host memory.
    pub cached_memory: Vec<ModelName>,
    /// Models whose weights are cached on local disk.
    pub cached_disk: Vec<ModelName>,
    /// Models for which the VM holds a slot, with the version of the placement row that granted it.
    pub slots: Vec<(ModelName, u64)>,
    /// Load at the time of the answer.
    pub load: EndpointLoad,
}

/// One replica on an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Model of the replica.
    pub model: ModelName,
    /// Version of the replica.
    pub version: VersionName,
    /// State of the replica.
    pub state: ReplicaState,
    /// Loaded adapters.
    pub adapters: Vec<AdapterName>,
    /// Time since the replica last had work, in milliseconds; 0 while it has work.
    pub idle_ms: u64,
}

/// State of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaState {
    /// A load order (a command to the engine) is in flight.
    Loading,
    /// The replica can run requests.
    Loaded,
    /// An unload order is in flight.
    Unloading,
    /// The outcome of an order is unknown: its answer was lost, and no later status shows its effect.
    Unsettled,
}
