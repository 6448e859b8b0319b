use serde::{Deserialize, Serialize};

use crate::name::{AdapterName, GroupName, ModelName, VersionName, VmId, ZoneName};
use crate::work::EndpointLoad;

/// What an agent holds and runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// VM of the agent and its endpoint.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Group of the endpoint.
    pub group: GroupName,
    /// Identity of this run of the agent; never repeated on a VM.
    pub incarnation: u64,
    /// Inventory revision that the agent enforces.
    pub revision: u64,
    /// Whether the VM is leaving.
    pub leaving: bool,
    /// Whether the engine or service answers.
    pub endpoint_up: bool,
    /// Accelerator memory of the endpoint, in bytes; 0 for a plain service.
    pub memory_total_bytes: u64,
    /// Memory reserved for loaded, loading and unsettled replicas, in bytes.
    pub memory_reserved_bytes: u64,
    /// Replicas and their adapters.
    pub replicas: Vec<ReplicaStatus>,
    /// Models whose weights are cached in host memory.
    pub cached_memory: Vec<ModelName>,
    /// Models whose weights are cached on local disk.
    pub cached_disk: Vec<ModelName>,
    /// Models of which the agent holds a slot, with the row version that granted it.
    pub slots: Vec<(ModelName, u64)>,
    /// Load now.
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
    /// Time since the replica last had work, in milliseconds; 0 while it has.
    pub idle_ms: u64,
}

/// State of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaState {
    /// A load order is in flight.
    Loading,
    /// Requests can run.
    Loaded,
    /// An unload order is in flight.
    Unloading,
    /// An order's answer never came and status has not settled it.
    Unsettled,
}
