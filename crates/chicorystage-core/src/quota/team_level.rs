use chicorystage_api::name::TeamName;
use serde::{Deserialize, Serialize};

/// What is left of a team's quota, as the lease holder tells the other gateways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamLevel {
    /// The team.
    pub team: TeamName,
    /// Units that are left; negative if more were admitted than the quota allows.
    pub level: f64,
    /// Units that the team asks all gateways for in a second.
    pub asked_per_s: f64,
}
