use chicorystage_api::name::TeamName;
use serde::{Deserialize, Serialize};

/// What a gateway has admitted for a team since its process started, as it tells the others.
///
/// Totals instead of increments: the next report makes up for one that is lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamUse {
    /// The team.
    pub team: TeamName,
    /// Units admitted, less those that were given back.
    pub used: f64,
    /// Units of `used` that the last level which the gateway was told includes.
    pub settled: f64,
    /// Units that the team asks this gateway for in a second, admitted or not.
    pub asked_per_s: f64,
    /// Part of the quota that the gateway may use when it hears nobody; 0 if it never knew the others.
    #[serde(default)]
    pub part: f64,
}
