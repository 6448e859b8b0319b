use serde::{Deserialize, Serialize};

use crate::choice::EndpointAnswer;
use crate::name::ServiceName;

/// What would become of a request at one service of its route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// The service.
    pub service: ServiceName,
    /// Weight of the service among those of the route.
    pub weight: u32,
    /// What the request is missing; `None` if it would be sent at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub missing: Option<String>,
    /// Time until what is missing should be there, in milliseconds; `None` if nothing is missing or that
    /// is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ready_in_ms: Option<u64>,
    /// Longest time for which the request waits for what is missing, in milliseconds.
    pub wait_max_ms: u64,
    /// Time after which a caller would be asked to come back if the request were refused now, in
    /// milliseconds; `None` if nothing is missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// All endpoints of the service.
    pub endpoints: Vec<EndpointAnswer>,
}
