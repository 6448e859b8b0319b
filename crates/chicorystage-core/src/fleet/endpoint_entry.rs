use std::net::SocketAddr;

use chicorystage_api::name::{EndpointId, ServiceName, SoftwareVersion, ZoneName};

use crate::fleet::{EndpointState, LoadedModel};

/// Registry entry that an endpoint writes about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Identity of the endpoint, which may stay the same across restarts.
    pub id: EndpointId,
    /// Service to which the endpoint belongs.
    pub service: ServiceName,
    /// Address that accepts requests and the orders to load and unload models.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: EndpointState,
    /// Start time, in milliseconds since the Unix epoch; a change indicates a restart.
    pub born_unix_ms: Option<u64>,
    /// Version of its software; `None` if its entry states none.
    pub software: Option<SoftwareVersion>,
    /// Models that are loaded; the registry lags behind the actual state.
    pub models: Vec<LoadedModel>,
}
