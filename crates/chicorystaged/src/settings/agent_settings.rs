use std::net::SocketAddr;

use chicorystage_api::name::GroupName;

/// Settings of an agent: section `[agent]`.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Kind of the endpoint that the agent serves.
    pub endpoint_kind: EndpointKind,
    /// Address of the endpoint beside the agent.
    pub endpoint: SocketAddr,
    /// Group of VMs whose processes are routers.
    pub router_group: GroupName,
    /// Largest number of calls that run on a plain service at once.
    pub service_concurrent_max: u32,
    /// Largest number of attempts in the wait queue.
    pub queue_max: u32,
    /// Largest total size of the attempts in the wait queue, in bytes.
    pub queue_bytes_max: u64,
    /// Longest wait for the engine's response to an order, in milliseconds.
    pub order_timeout_ms: u64,
    /// Longest duration of a call to a plain service, in milliseconds.
    pub service_timeout_ms: u64,
    /// Time for which the frames of a finished attempt can be resumed, in milliseconds.
    pub finished_kept_ms: u64,
    /// Longest duration of a graceful stop, in milliseconds.
    pub drain_max_ms: u64,
}

/// Kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}
