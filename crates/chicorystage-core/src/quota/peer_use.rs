use std::collections::HashMap;

use chicorystage_api::name::TeamName;

use crate::quota::{TeamUse, seconds};

/// What another gateway has told of its use.
#[derive(Clone, Debug)]
pub(super) struct PeerUse {
    incarnation: u64,
    pub(super) heard_ms: u64,
    /// Time up to which the use of a silent gateway is assumed, in milliseconds.
    assumed_ms: u64,
    teams: HashMap<TeamName, PeerTeam>,
}

#[derive(Clone, Copy, Debug, Default)]
struct PeerTeam {
    used: f64,
    asked_per_s: f64,
    part: f64,
    /// Units charged while the gateway was silent, which its next report replaces.
    assumed: f64,
}

/// What a report adds to what was known.
#[derive(Clone, Copy, Debug)]
pub(super) struct NewUse {
    pub(super) used: f64,
    /// Units that were charged because the gateway was silent, and that the report replaces.
    pub(super) assumed: f64,
    /// Change of what is asked of the gateway in a second.
    pub(super) asked_per_s: f64,
    /// Change of the part of the quota that is the gateway's own.
    pub(super) part: f64,
}

/// A time in which a silent gateway is assumed to use its part.
#[derive(Clone, Copy, Debug)]
pub(super) struct AssumedSpan {
    pub(super) length_s: f64,
    /// Whether it begins with the last report, so that the gateway may also use its part of what was
    /// left then.
    pub(super) is_first: bool,
}

impl PeerUse {
    /// Begins to follow a gateway.
    pub(super) fn new(now_ms: u64, incarnation: u64) -> Self {
        Self {
            incarnation,
            heard_ms: now_ms,
            assumed_ms: now_ms,
            teams: HashMap::new(),
        }
    }

    /// Applies a report and returns what is new for each team.
    ///
    /// The first report of a team is compared with what the last level that was told includes.
    pub(super) fn told(
        &mut self,
        now_ms: u64,
        incarnation: u64,
        uses: Vec<TeamUse>,
    ) -> Vec<(TeamName, NewUse)> {
        if incarnation != self.incarnation {
            // A new process counts from 0; what was assumed of the one before stays charged.
            self.incarnation = incarnation;
            for known in self.teams.values_mut() {
                known.used = 0.0;
                known.assumed = 0.0;
            }
        }
        self.heard_ms = now_ms;
        self.assumed_ms = now_ms;
        let absent = self.teams.iter_mut().filter(|(team, known)| {
            (known.asked_per_s > 0.0 || known.part > 0.0)
                && uses.iter().all(|told| told.team != **team)
        });
        let mut new: Vec<(TeamName, NewUse)> = absent
            .map(|(team, known)| {
                let new = NewUse {
                    used: 0.0,
                    assumed: 0.0,
                    asked_per_s: -std::mem::take(&mut known.asked_per_s),
                    part: -std::mem::take(&mut known.part),
                };
                (team.clone(), new)
            })
            .collect();
        let told = uses.into_iter().map(|told| {
            let known = self.teams.entry(told.team.clone());
            let known = known.or_insert_with(|| PeerTeam {
                used: told.settled,
                ..PeerTeam::default()
            });
            let added = NewUse {
                used: told.used - known.used,
                assumed: known.assumed,
                asked_per_s: told.asked_per_s - known.asked_per_s,
                part: told.part - known.part,
            };
            known.used = told.used;
            known.asked_per_s = told.asked_per_s;
            known.part = told.part;
            known.assumed = 0.0;
            (told.team, added)
        });
        new.extend(told);
        new
    }

    /// Returns what is asked of the gateway in a second, by team.
    pub(super) fn asked_per_s(&self) -> impl Iterator<Item = (&TeamName, f64)> {
        self.teams
            .iter()
            .map(|(team, known)| (team, known.asked_per_s))
    }

    /// Returns the gateway's own part of the quota, by team.
    pub(super) fn parts(&self) -> impl Iterator<Item = (&TeamName, f64)> {
        self.teams.iter().map(|(team, known)| (team, known.part))
    }

    /// Returns for how long a silent gateway may have used its part since the last call.
    pub(super) fn assume(&mut self, until_ms: u64) -> AssumedSpan {
        let is_first = self.assumed_ms == self.heard_ms;
        let length_s = seconds(self.assumed_ms, until_ms);
        self.assumed_ms = self.assumed_ms.max(until_ms);
        AssumedSpan { length_s, is_first }
    }

    /// Notes units of a team that were charged because the gateway may have used them.
    pub(super) fn assumed(&mut self, team: &TeamName, units: f64) {
        if let Some(known) = self.teams.get_mut(team) {
            known.assumed += units;
        }
    }
}
