use chicorystage_api::name::TeamName;

use crate::teams::Quota;

/// A team that shares the deployment with others.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name of the team, which endpoints get with its requests.
    pub name: TeamName,
    /// Priority among teams; 0 is the most urgent.
    pub priority: u8,
    /// Quota over all gateways together; `None` if the team has none.
    pub quota: Option<Quota>,
}
