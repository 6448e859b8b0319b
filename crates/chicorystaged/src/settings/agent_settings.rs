use std::net::SocketAddr;

use chicorystage_api::name::GroupName;

/// Settings of an agent: section `[agent]`.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Kind of the endpoint beside the agent.
    pub endpoint_kind: EndpointKind,
    /// Address of the endpoint.
    pub endpoint: SocketAddr,
    /// Group of VMs whose processes are routers.
    pub router_group: GroupName,
    /// Calls of a plain service run at once.
    pub service_concurrent_max: u32,
    /// Attempts that wait at once.
    pub queue_max: u32,
    /// Bytes of attempts that wait at once.
    pub queue_bytes_max: u64,
    /// Longest time until an order's answer, in milliseconds.
    pub order_timeout_ms: u64,
    /// Longest call of a plain service, in milliseconds.
    pub service_timeout_ms: u64,
    /// Time for which a finished attempt's frames are kept, in milliseconds.
    pub finished_kept_ms: u64,
    /// Longest graceful stop, in milliseconds.
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
