use std::collections::HashMap;

use chicorystage_api::name::{TeamName, VmId};

use crate::fleet::{holder_silence_ms, load_age_ms};
use crate::quota::peer_use::PeerUse;
use crate::quota::team_window::TeamWindow;
use crate::quota::{QuotaDecision, QuotaTerms, Sight, StoredUse, TeamLevel, TeamUse, seconds};
use crate::teams::TeamDirectory;

/// Time since the last request of a team after which its use is told no more, in milliseconds.
const TOLD_MS: u64 = 3_000;
/// Time since the last report of a gateway after which its use is assumed, in milliseconds.
const SILENT_MS: u64 = 500;
/// Longest time for which the use of a silent gateway is assumed, in milliseconds.
const ASSUMED_MS: u64 = 6_000;
/// Time since the last report of a gateway after which the next one begins anew, in milliseconds.
const FORGOTTEN_MS: u64 = 60_000;

/// Part of a quota that is assumed to have been used in the window before a gateway's start, unless the
/// store tells more.
const USED_PART_ASSUMED: f64 = 0.6;

/// One gateway's knowledge of what teams have used of their quotas.
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    terms: QuotaTerms,
    windows: HashMap<TeamName, TeamWindow>,
    peers: HashMap<VmId, PeerUse>,
    /// Time of the last report of any other gateway; `None` before the first.
    heard_ms: Option<u64>,
    /// Use that was stored before the start, and its largest age in milliseconds.
    stored: (Vec<StoredUse>, u64),
    /// Whether a configuration with teams was applied before.
    has_quotas: bool,
}

impl QuotaLedger {
    /// Creates the ledger of quotas that hold on the given terms.
    #[must_use]
    pub fn new(terms: QuotaTerms) -> Self {
        Self {
            terms,
            windows: HashMap::new(),
            peers: HashMap::new(),
            heard_ms: None,
            stored: (Vec::new(), 0),
            has_quotas: false,
        }
    }

    /// Applies the quotas of a configuration.
    ///
    /// At first, a part of each quota counts as used, as what was used before the process started is not
    /// known. A team that is added later has used nothing.
    pub fn set_quotas(&mut self, now_ms: u64, teams: &TeamDirectory) {
        let mut before = std::mem::take(&mut self.windows);
        for team in teams.teams() {
            let Some(quota) = team.quota else {
                continue;
            };
            let window = if let Some(mut window) = before.remove(&team.name) {
                window.set_quota(quota);
                window
            } else {
                let used_part = if self.has_quotas {
                    0.0
                } else {
                    USED_PART_ASSUMED
                };
                TeamWindow::new(now_ms, self.terms, quota, used_part)
            };
            self.windows.insert(team.name.clone(), window);
        }
        if !self.has_quotas {
            self.apply_stored();
        }
        self.has_quotas |= !teams.is_empty();
    }

    /// Returns the use of teams that have used more than is assumed at a start, for the store.
    pub fn to_store(&mut self, now_ms: u64) -> Vec<StoredUse> {
        let windows = self.windows.iter_mut();
        let busy = windows.filter_map(|(team, window)| {
            (window.used_part(now_ms) > USED_PART_ASSUMED).then_some((team, window))
        });
        let uses = busy.map(|(team, window)| {
            let (slots, asked_per_s) = window.to_store(now_ms);
            StoredUse {
                team: team.clone(),
                slots,
                asked_per_s,
            }
        });
        uses.collect()
    }

    /// Takes over the use that was stored before the start, of teams that no other gateway has told of.
    ///
    /// What is stored is up to `age_ms` old; what may have been used since is charged as well.
    pub fn restore(&mut self, stored: Vec<StoredUse>, age_ms: u64) {
        self.stored = (stored, age_ms);
        self.apply_stored();
    }

    fn apply_stored(&mut self) {
        let (stored, age_ms) = &self.stored;
        for stored in stored {
            if let Some(window) = self.windows.get_mut(&stored.team) {
                let since = stored.asked_per_s * seconds(0, *age_ms);
                window.restore(&stored.slots, since);
            }
        }
    }

    /// Decides on a request of a team and charges it if it is admitted.
    ///
    /// `random` is drawn from 0 to 1. A team without a quota is admitted at no charge.
    pub fn admit(
        &mut self,
        now_ms: u64,
        team: &TeamName,
        cost: f64,
        random: f64,
        sight: Sight,
    ) -> QuotaDecision {
        match self.windows.get_mut(team) {
            Some(window) => window.admit(now_ms, cost, random, sight),
            None => QuotaDecision::Admitted(0.0),
        }
    }

    /// Gives back the units of a request that was not run.
    pub fn give_back(&mut self, team: &TeamName, cost: f64) {
        if let Some(window) = self.windows.get_mut(team) {
            window.give_back(cost);
        }
    }

    /// Returns what is known of the requests at the other gateways.
    #[must_use]
    pub fn sight(&self, now_ms: u64, gateways: usize) -> Sight {
        if gateways <= 1 {
            return Sight::Alone;
        }
        let silence_ms = holder_silence_ms(gateways);
        if self
            .heard_ms
            .is_some_and(|heard_ms| now_ms < heard_ms + silence_ms)
        {
            let age_ms = load_age_ms(gateways);
            return Sight::Reports { age_ms };
        }
        Sight::Isolated { gateways }
    }

    /// Returns the own use of teams that have asked lately, for the next report.
    pub fn own_use(&mut self, now_ms: u64) -> Vec<TeamUse> {
        let lately = |window: &TeamWindow| {
            window
                .asked_ms()
                .is_some_and(|asked_ms| now_ms < asked_ms + TOLD_MS)
        };
        let windows = self.windows.iter_mut().filter(|(_, window)| lately(window));
        windows.map(|(team, window)| window.own_use(team)).collect()
    }

    /// Charges what another gateway reports.
    pub fn reported(&mut self, now_ms: u64, vm: &VmId, incarnation: u64, uses: Vec<TeamUse>) {
        if self.windows.is_empty() {
            return;
        }
        self.heard_ms = Some(now_ms);
        let peer = self.peers.entry(vm.clone());
        let peer = peer.or_insert_with(|| PeerUse::new(now_ms, incarnation));
        for (team, new) in peer.told(now_ms, incarnation, uses) {
            if let Some(window) = self.windows.get_mut(&team) {
                window.charge(now_ms, new.used, new.asked);
            }
        }
    }

    /// Returns the levels of all teams, which the lease holder tells the others.
    ///
    /// Gateways that have fallen silent are charged with what they used before, as they may be cut off
    /// and go on.
    pub fn levels(&mut self, now_ms: u64) -> Vec<TeamLevel> {
        self.assume_silent(now_ms);
        let levels = self.windows.iter_mut().map(|(team, window)| {
            let (level, asked_per_s) = window.to_tell(now_ms);
            TeamLevel {
                team: team.clone(),
                level,
                asked_per_s,
            }
        });
        levels.collect()
    }

    /// Takes over the levels that the lease holder tells.
    ///
    /// Reports then go to the holder, so those that this gateway has got before are no base any more.
    pub fn told(&mut self, now_ms: u64, levels: Vec<TeamLevel>) {
        if self.windows.is_empty() {
            return;
        }
        self.heard_ms = Some(now_ms);
        self.peers.clear();
        for level in levels {
            if let Some(window) = self.windows.get_mut(&level.team) {
                window.told(now_ms, level.level, level.asked_per_s);
            }
        }
    }

    fn assume_silent(&mut self, now_ms: u64) {
        self.peers
            .retain(|_, peer| now_ms < peer.heard_ms + FORGOTTEN_MS);
        for peer in self.peers.values_mut() {
            if now_ms < peer.heard_ms + SILENT_MS {
                continue;
            }
            let until_ms = now_ms.min(peer.heard_ms + ASSUMED_MS);
            for (team, units) in peer.assume(until_ms) {
                if let Some(window) = self.windows.get_mut(&team) {
                    window.charge(now_ms, units, 0.0);
                }
            }
        }
    }
}
