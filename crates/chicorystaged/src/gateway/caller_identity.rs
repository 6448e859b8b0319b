//! Whom a caller's request belongs to.

use chicorystage_platform::endpoint_request::Identity;

use crate::gateway::teams::TeamRequest;

/// Whom a request belongs to.
#[derive(Debug)]
pub enum CallerIdentity {
    /// The configuration lists no teams.
    NoTeams,
    /// The request needs no key and belongs to no team.
    Open,
    /// A team, by its key.
    Team(TeamRequest),
}

impl CallerIdentity {
    /// Returns the team's request; `None` without a team.
    #[must_use]
    pub fn team(&self) -> Option<&TeamRequest> {
        match self {
            Self::Team(team) => Some(team),
            Self::NoTeams | Self::Open => None,
        }
    }

    /// Records whether an endpoint may have run the request.
    pub fn sent(&self, may_have_run: bool) {
        if let Some(team) = self.team() {
            team.sent(may_have_run);
        }
    }

    /// Returns what endpoints are told of the request's team.
    pub(super) fn terms(&self) -> Identity<'_> {
        match self {
            Self::NoTeams => Identity::Unchecked,
            Self::Open => Identity::Checked(None),
            Self::Team(team) => Identity::Checked(Some(team.team.name.as_str())),
        }
    }
}
