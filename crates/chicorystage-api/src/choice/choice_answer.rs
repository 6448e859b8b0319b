use serde::{Deserialize, Serialize};

use crate::choice::{ServiceAnswer, TeamAnswer};
use crate::name::VmId;

/// Where a request would go now from one gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChoiceAnswer {
    /// VM of the gateway.
    pub gateway: VmId,
    /// Version of the configuration in force there.
    pub configuration: u64,
    /// Name of the route.
    pub route: String,
    /// Age of what the gateway knows of the other gateways' requests, in milliseconds.
    pub reports_age_ms: u64,
    /// The team's quota; `None` without a team.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamAnswer>,
    /// The services of the route; each request goes to one of them by weight.
    pub services: Vec<ServiceAnswer>,
}
