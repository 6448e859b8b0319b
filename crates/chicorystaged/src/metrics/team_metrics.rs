use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Largest number of teams with labels of their own; the others share one.
const TEAMS_MAX: usize = 64;
/// Label of teams beyond that number.
const OTHER_TEAMS: &str = "other";

/// Labels of requests that are counted per team.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TeamLabels {
    /// Name of the team; empty if the request has none.
    team: String,
    /// `admitted`, `quota`, `denied` or `unconfirmed`.
    outcome: String,
}

/// Counters of requests of teams.
#[derive(Debug, Default)]
pub struct TeamMetrics {
    requests: Family<TeamLabels, Counter>,
    configuration_age_ms: Gauge,
    teams: Mutex<BTreeSet<String>>,
}

impl TeamMetrics {
    /// Counts a request of a team by whether it was let in.
    pub fn count(&self, team: &str, outcome: &str) {
        let labels = TeamLabels {
            team: self.label(team),
            outcome: outcome.to_owned(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Sets the gauge of the time for which the configuration may have been out of date.
    pub fn set_configuration_age_ms(&self, age_ms: Option<u64>) {
        let age_ms = age_ms.and_then(|age_ms| i64::try_from(age_ms).ok());
        self.configuration_age_ms.set(age_ms.unwrap_or(-1));
    }

    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "team_requests",
            "Requests of teams by whether they were let in",
            self.requests.clone(),
        );
        registry.register(
            "configuration_age_ms",
            "Time for which the configuration may have been out of date; -1 before the first",
            self.configuration_age_ms.clone(),
        );
    }

    /// Returns the label of a team.
    fn label(&self, team: &str) -> String {
        let mut teams = self.teams.lock().unwrap_or_else(PoisonError::into_inner);
        if teams.contains(team) {
            return team.to_owned();
        }
        if teams.len() >= TEAMS_MAX {
            return OTHER_TEAMS.to_owned();
        }
        teams.insert(team.to_owned());
        team.to_owned()
    }
}
