use std::collections::HashMap;

use chicorystage_api::name::TeamName;

use crate::quota::rate_meter::RateMeter;
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
    asked: f64,
    used_meter: RateMeter,
    /// Units charged while the gateway was silent, which its next report replaces.
    assumed: f64,
}

/// What a report adds to what was known.
#[derive(Clone, Copy, Debug)]
pub(super) struct NewUse {
    pub(super) used: f64,
    pub(super) asked: f64,
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
            self.teams.clear();
        }
        self.heard_ms = now_ms;
        self.assumed_ms = now_ms;
        let told = uses.into_iter().map(|told| {
            let known = self.teams.entry(told.team.clone());
            let known = known.or_insert_with(|| PeerTeam {
                used: told.settled,
                asked: told.asked,
                ..PeerTeam::default()
            });
            let used = told.used - known.used;
            let new = NewUse {
                used: used - known.assumed,
                asked: (told.asked - known.asked).max(0.0),
            };
            known.used = told.used;
            known.asked = told.asked;
            known.assumed = 0.0;
            known.used_meter.add(now_ms, used.max(0.0));
            (told.team, new)
        });
        told.collect()
    }

    /// Returns what a silent gateway is assumed to have used since the last call, until `until_ms`.
    pub(super) fn assume(&mut self, until_ms: u64) -> Vec<(TeamName, f64)> {
        let elapsed_s = seconds(self.assumed_ms, until_ms);
        self.assumed_ms = self.assumed_ms.max(until_ms);
        let heard_ms = self.heard_ms;
        let assumed = self.teams.iter_mut().map(|(team, known)| {
            let units = known.used_meter.per_s(heard_ms) * elapsed_s;
            known.assumed += units;
            (team.clone(), units)
        });
        assumed.collect()
    }
}
