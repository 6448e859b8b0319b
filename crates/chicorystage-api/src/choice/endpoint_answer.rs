use serde::{Deserialize, Serialize};

use crate::name::{EndpointId, ZoneName};

/// How an endpoint is assessed for a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointAnswer {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Requests of the gateway in progress.
    pub own_requests: u32,
    /// Requests in progress that the other gateways have reported.
    pub other_requests: u32,
    /// Probability with which it is chosen.
    pub probability: f64,
    /// Cost by which endpoints are compared, the least is best; `None` if it cannot take the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cost: Option<f64>,
    /// Why it cannot take the request; `None` if it can.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rejected: Option<String>,
}
