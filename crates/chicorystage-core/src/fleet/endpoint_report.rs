use chicorystage_api::name::{EndpointId, ZoneName};

use crate::fleet::Rejection;

/// How an endpoint was assessed for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointReport {
    /// The endpoint.
    pub id: EndpointId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Requests of this router in progress.
    pub own_requests: u32,
    /// Requests in progress that the other routers have reported.
    pub other_requests: u32,
    /// Cost by which candidates are compared, the least is best; `None` if it cannot take the request.
    pub cost: Option<f64>,
    /// Probability with which it is chosen.
    pub probability: f64,
    /// Why it cannot take the request; `None` if it can.
    pub rejection: Option<Rejection>,
}
