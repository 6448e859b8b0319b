use chicorystage_api::name::TeamName;
use serde::{Deserialize, Serialize};

/// Time for which a team's quota should last, in seconds.
const SHORT_S: f64 = 0.5;

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

impl TeamLevel {
    /// Returns whether what is left would not last for [`SHORT_S`] at the present demand.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.asked_per_s > 0.0 && self.level < self.asked_per_s * SHORT_S
    }
}
