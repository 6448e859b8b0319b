use std::collections::HashMap;

use chicorystage_api::name::{TeamName, VmId};

use crate::fleet::{holder_silence_ms, load_period_ms};
use crate::quota::peer_use::PeerUse;
use crate::quota::team_bucket::TeamBucket;
use crate::quota::{QuotaDecision, QuotaTerms, TeamLevel, TeamUse};
use crate::teams::TeamDirectory;

/// Time since the last request of a team after which its use is told no more, in milliseconds.
const TOLD_MS: u64 = 3_000;
/// Number of intervals between reports after which a new lease holder has heard all gateways.
const COLLECTING_PERIODS: u64 = 2;
/// Time since the last report of a gateway after which its use is assumed, in milliseconds.
const SILENT_MS: u64 = 500;
/// Longest time for which the use of a silent gateway is assumed, in milliseconds.
const ASSUMED_MS: u64 = 5_000;
/// Time since the last report of a gateway after which the next one begins anew, in milliseconds.
const FORGOTTEN_MS: u64 = 60_000;

/// One gateway's knowledge of what teams have used of their quotas.
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    terms: QuotaTerms,
    buckets: HashMap<TeamName, TeamBucket>,
    peers: HashMap<VmId, PeerUse>,
    /// Time of the first report since reports go to this gateway, in milliseconds.
    first_report_ms: Option<u64>,
    /// Time of the last levels of a lease holder, in milliseconds.
    told_ms: Option<u64>,
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
            first_report_ms: None,
            told_ms: None,
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

    /// Records that a request of a team has come, before the decision on it.
    pub fn asked(&mut self, now_ms: u64, team: &TeamName, cost: f64) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.asked(now_ms, cost);
        }
    }

    /// Decides on a request of a team at one of `gateways`, and charges it if it is admitted.
    ///
    /// `random` is drawn from 0 to 1. A team without a quota is admitted at no charge.
    pub fn admit(
        &mut self,
        now_ms: u64,
        team: &TeamName,
        cost: f64,
        gateways: usize,
        random: f64,
    ) -> QuotaDecision {
        match self.buckets.get_mut(team) {
            Some(bucket) => bucket.admit(now_ms, cost, gateways, random),
            None => QuotaDecision::Admitted(0.0),
        }
    }

    /// Returns what is left of a team's quota as this gateway knows it; `None` without a quota.
    pub fn level(&mut self, now_ms: u64, team: &TeamName) -> Option<TeamLevel> {
        let bucket = self.buckets.get_mut(team)?;
        Some(bucket.known(now_ms, team))
    }

    /// Gives back the units of a request that was not run.
    pub fn give_back(&mut self, team: &TeamName, cost: f64) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.give_back(cost);
        }
    }

    /// Returns the own use of teams that have asked lately, for the next report.
    pub fn own_use(&mut self, now_ms: u64) -> Vec<TeamUse> {
        let lately = |bucket: &TeamBucket| {
            bucket
                .asked_ms()
                .is_some_and(|asked_ms| now_ms < asked_ms + TOLD_MS)
        };
        let buckets = self.buckets.iter_mut().filter(|(_, bucket)| lately(bucket));
        buckets
            .map(|(team, bucket)| bucket.own_use(now_ms, team))
            .collect()
    }

    /// Charges what another one of `gateways` reports.
    ///
    /// While the lease holder tells levels, these include it: the few gateways that do not hear the
    /// holder and report to all are not all there are.
    pub fn reported(
        &mut self,
        now_ms: u64,
        vm: &VmId,
        incarnation: u64,
        uses: Vec<TeamUse>,
        gateways: usize,
    ) {
        if self.buckets.is_empty() || self.hears_holder(now_ms, gateways) {
            return;
        }
        self.first_report_ms.get_or_insert(now_ms);
        let peer = self.peers.entry(vm.clone());
        let peer = peer.or_insert_with(|| PeerUse::new(now_ms, incarnation));
        for (team, new) in peer.told(now_ms, incarnation, uses) {
            if let Some(bucket) = self.buckets.get_mut(&team) {
                bucket.charge(now_ms, new);
            }
        }
        self.learn_heard_part(now_ms, gateways);
        self.assume_silent(now_ms);
    }

    /// Returns the levels of all teams, which the lease holder tells the others.
    ///
    /// Gateways that have fallen silent are charged with what they used before, as they may be cut off
    /// and go on. A holder that has not yet heard all of `gateways` tells nothing.
    pub fn levels(&mut self, now_ms: u64, gateways: usize) -> Vec<TeamLevel> {
        let all_heard_ms = COLLECTING_PERIODS * load_period_ms(gateways);
        let first_ms = self.first_report_ms;
        if first_ms.is_none_or(|first_ms| now_ms < first_ms + all_heard_ms) {
            return Vec::new();
        }
        self.assume_silent(now_ms);
        let are_parts_told = first_ms.is_some_and(|first_ms| now_ms >= first_ms + ASSUMED_MS);
        let buckets = self.buckets.iter_mut();
        buckets
            .map(|(team, bucket)| bucket.tell(now_ms, team, are_parts_told))
            .collect()
    }

    /// Takes over the levels that the lease holder tells.
    ///
    /// Reports then go to the holder, so those that this gateway has got before are no base any more. A
    /// holder that still collects reports tells no levels; until it does, own parts stay as they are.
    pub fn told(&mut self, now_ms: u64, levels: Vec<TeamLevel>) {
        if self.buckets.is_empty() {
            return;
        }
        self.forget_peers(|_| true);
        self.first_report_ms = None;
        self.told_ms = Some(now_ms);
        for bucket in self.buckets.values_mut() {
            bucket.forget_reports();
        }
        for level in levels {
            if let Some(bucket) = self.buckets.get_mut(&level.team) {
                bucket.told(now_ms, &level);
            }
        }
    }

    fn hears_holder(&self, now_ms: u64, gateways: usize) -> bool {
        let silence_ms = holder_silence_ms(gateways);
        self.told_ms
            .is_some_and(|told_ms| now_ms < told_ms + silence_ms)
    }

    /// Sets the part of accruing units that is for gateways which are heard.
    ///
    /// Those that are not heard within the time for which a silent one is assumed are gone.
    fn learn_heard_part(&mut self, now_ms: u64, gateways: usize) {
        let first_ms = self.first_report_ms.unwrap_or(now_ms);
        let heard = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        let all = u32::try_from(gateways).unwrap_or(u32::MAX).max(1);
        let heard_count_part = (f64::from(heard) / f64::from(all)).min(1.0);
        let all_heard = now_ms >= first_ms + ASSUMED_MS;
        for bucket in self.buckets.values_mut() {
            if all_heard {
                bucket.set_heard_part(now_ms, 1.0);
            } else {
                bucket.learn_heard_part(now_ms, heard_count_part);
            }
        }
    }

    /// Forgets gateways, and what they ask for.
    fn forget_peers(&mut self, is_forgotten: impl Fn(&PeerUse) -> bool) {
        for (_, peer) in self.peers.extract_if(|_, peer| is_forgotten(peer)) {
            for (team, asked_per_s) in peer.asked_per_s() {
                if let Some(bucket) = self.buckets.get_mut(team) {
                    bucket.others_asked(-asked_per_s);
                }
            }
            for (team, part) in peer.parts() {
                if let Some(bucket) = self.buckets.get_mut(team) {
                    bucket.others_have(-part);
                }
            }
        }
    }

    fn assume_silent(&mut self, now_ms: u64) {
        self.forget_peers(|peer| now_ms >= peer.heard_ms + FORGOTTEN_MS);
        for peer in self.peers.values_mut() {
            if now_ms < peer.heard_ms + SILENT_MS {
                continue;
            }
            let until_ms = now_ms.min(peer.heard_ms + ASSUMED_MS);
            let span = peer.assume(until_ms);
            let parts: Vec<(TeamName, f64)> = peer
                .parts()
                .map(|(team, part)| (team.clone(), part))
                .collect();
            for (team, part) in parts {
                if let Some(bucket) = self.buckets.get_mut(&team) {
                    let units = bucket.units_of_part(now_ms, part, span);
                    bucket.assume(now_ms, units);
                    peer.assumed(&team, units);
                }
            }
        }
    }
}
