use serde::{Deserialize, Serialize};

use crate::name::TeamName;

/// What a gateway knows of a team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamAnswer {
    /// The team.
    pub team: TeamName,
    /// Level of its priority; 0 is the most urgent.
    pub level: u8,
    /// Units of its quota that are left; `None` without a quota.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub units_left: Option<f64>,
    /// Units that the team asks all gateways for in a second; `None` without a quota.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub asked_per_s: Option<f64>,
    /// Whether the gateway accepts keys, as its configuration is confirmed.
    pub are_keys_accepted: bool,
}
