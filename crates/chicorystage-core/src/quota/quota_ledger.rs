use std::collections::HashMap;

use chicorystage_api::name::{TeamName, VmId};

use crate::fleet::{holder_silence_ms, load_age_ms};
use crate::quota::peer_use::PeerUse;
use crate::quota::team_bucket::TeamBucket;
use crate::quota::{QuotaDecision, QuotaTerms, Sight, TeamLevel, TeamUse};
use crate::teams::TeamDirectory;

/// Time since the last request of a team after which its use is told no more, in milliseconds.
const TOLD_MS: u64 = 3_000;
/// Time since the last report of a gateway after which its use is assumed, in milliseconds.
const SILENT_MS: u64 = 500;
/// Longest time for which the use of a silent gateway is assumed, in milliseconds.
const ASSUMED_MS: u64 = 6_000;
/// Time since the last report of a gateway after which the next one begins anew, in milliseconds.
const FORGOTTEN_MS: u64 = 60_000;

/// One gateway's knowledge of what teams have used of their quotas.
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    terms: QuotaTerms,
    buckets: HashMap<TeamName, TeamBucket>,
    peers: HashMap<VmId, PeerUse>,
    /// Time of the last report of any other gateway; `None` before the first.
    heard_ms: Option<u64>,
    /// Whether a configuration with teams was applied before.
    has_quotas: bool,
}

impl QuotaLedger {
    /// Creates the ledger of quotas that hold on the given terms.
    #[must_use]
    pub fn new(terms: QuotaTerms) -> Self {
        Self {
            terms,
            buckets: HashMap::new(),
            peers: HashMap::new(),
            heard_ms: None,
            has_quotas: false,
        }
    }

    /// Applies the quotas of a configuration.
    ///
    /// At first, buckets are empty, as what was used before the process started is not known. The
    /// bucket of a team that is added later is full.
    pub fn set_quotas(&mut self, now_ms: u64, teams: &TeamDirectory) {
        let mut before = std::mem::take(&mut self.buckets);
        for team in teams.teams() {
            let Some(quota) = team.quota else {
                continue;
            };
            let bucket = if let Some(mut bucket) = before.remove(&team.name) {
                bucket.set_quota(now_ms, self.terms, quota);
                bucket
            } else {
                let level = if self.has_quotas { quota.burst } else { 0.0 };
                TeamBucket::new(now_ms, self.terms, quota, level)
            };
            self.buckets.insert(team.name.clone(), bucket);
        }
        self.has_quotas |= !teams.is_empty();
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
        match self.buckets.get_mut(team) {
            Some(bucket) => bucket.admit(now_ms, cost, random, sight),
            None => QuotaDecision::Admitted(0.0),
        }
    }

    /// Gives back the units of a request that was not run.
    pub fn give_back(&mut self, team: &TeamName, cost: f64) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.give_back(cost);
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
        let lately = |bucket: &TeamBucket| {
            bucket
                .asked_ms()
                .is_some_and(|asked_ms| now_ms < asked_ms + TOLD_MS)
        };
        let buckets = self.buckets.iter_mut().filter(|(_, bucket)| lately(bucket));
        buckets.map(|(team, bucket)| bucket.own_use(team)).collect()
    }

    /// Charges what another gateway reports.
    pub fn reported(&mut self, now_ms: u64, vm: &VmId, incarnation: u64, uses: Vec<TeamUse>) {
        if self.buckets.is_empty() {
            return;
        }
        self.heard_ms = Some(now_ms);
        let peer = self.peers.entry(vm.clone());
        let peer = peer.or_insert_with(|| PeerUse::new(now_ms, incarnation));
        for (team, new) in peer.told(now_ms, incarnation, uses) {
            if let Some(bucket) = self.buckets.get_mut(&team) {
                bucket.charge(now_ms, new.used, new.asked);
            }
        }
    }

    /// Returns the levels of all teams, which the lease holder tells the others.
    ///
    /// Gateways that have fallen silent are charged with what they used before, as they may be cut off
    /// and go on.
    pub fn levels(&mut self, now_ms: u64) -> Vec<TeamLevel> {
        self.assume_silent(now_ms);
        let levels = self.buckets.iter_mut().map(|(team, bucket)| {
            let (level, asked_per_s) = bucket.to_tell(now_ms);
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
        if self.buckets.is_empty() {
            return;
        }
        self.heard_ms = Some(now_ms);
        self.peers.clear();
        for level in levels {
            if let Some(bucket) = self.buckets.get_mut(&level.team) {
                bucket.told(now_ms, level.level, level.asked_per_s);
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
                if let Some(bucket) = self.buckets.get_mut(&team) {
                    bucket.charge(now_ms, units, 0.0);
                }
            }
        }
    }
}
