use chicorystage_api::name::TeamName;
use serde::{Deserialize, Serialize};

/// Recent use of a team as the lease holder stores it for gateways that start with no one to ask.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredUse {
    /// The team.
    pub team: TeamName,
    /// Units used in each slot of the window, the oldest first.
    pub slots: Vec<f64>,
    /// Units that the team asked all gateways for in a second.
    pub asked_per_s: f64,
}
