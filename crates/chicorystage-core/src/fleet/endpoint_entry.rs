use std::net::SocketAddr;

use chicorystage_api::name::{EndpointId, ServiceName, ZoneName};

use crate::fleet::{EndpointState, HeldModel};

/// What an endpoint registered of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Identity of the endpoint; may stay the same when it starts anew.
    pub id: EndpointId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address that takes requests and orders.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: EndpointState,
    /// Time at which it started, in milliseconds since the Unix epoch.
    pub born_unix_ms: Option<u64>,
    /// Models that it holds, as of some time ago.
    pub models: Vec<HeldModel>,
}
