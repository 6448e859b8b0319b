use chicorystage_api::name::TeamName;

use crate::quota::peer_use::{AssumedSpan, NewUse};
use crate::quota::rate_meter::RateMeter;
use crate::quota::{MS_PER_S, QuotaDecision, QuotaTerms, TeamLevel, TeamUse, seconds};
use crate::teams::Quota;

/// Part of the burst that must be left for a first request at a gateway that had none before.
const PLENTY_PART: f64 = 0.25;
/// Smallest part of the quota for gateways that are heard, where the others had all of it.
const HEARD_PART_MIN: f64 = 0.01;
/// Weight of the newest request in the mean cost.
const NEWEST_WEIGHT: f64 = 0.1;
/// Time in which a team that asks for more than its quota should come back, as a part of the time that
/// its excess of a second takes.
const RETURN_PART: f64 = 0.5;
/// Longest time to come back that is told, in milliseconds.
const RETRY_MAX_MS: f64 = 3_000.0;

/// One gateway's copy of the token bucket that a team has at all gateways together.
///
/// Until the next report, the gateway uses no more than its part of what is left and accrues: the part
/// that its requests had of all that were asked. So what all gateways together use beyond the bucket does
/// not grow with a jump of demand; first requests at gateways that had none before come on top.
#[derive(Clone, Debug)]
pub(super) struct TeamBucket {
    /// Units that accrue in a second.
    per_s: f64,
    burst: f64,
    /// Units left as last known, less own use since; negative while there is a debt.
    level: f64,
    updated_ms: u64,
    /// Units charged to silent gateways that would be left if these have used none.
    assumed: f64,
    /// Part of the accruing units that is for gateways which are heard.
    heard_part: f64,
    /// Own part of what was asked of all gateways when the others' use was last known; `None` before.
    own_part: Option<f64>,
    /// Own part when the use of all gateways was last known; `None` before.
    settled_part: Option<f64>,
    /// Settled parts of the others that are heard.
    others_part: f64,
    /// Units asked of all gateways in a second, when the others' use was last known.
    known_asked_per_s: f64,
    /// Own use that `level` as last known includes.
    known_used: f64,
    own_used: f64,
    own_meter: RateMeter,
    /// Units that the others have reported to be asked for in a second.
    others_asked_per_s: f64,
    /// Mean cost of own requests; 0 before the first.
    mean_cost: f64,
    /// Own use that the last report told.
    reported_used: f64,
    /// Own use that the last level which was told includes.
    settled_used: f64,
    asked_ms: Option<u64>,
    /// Whether other gateways have reported since their use was last known.
    has_reports: bool,
}

impl TeamBucket {
    /// Creates a bucket that holds `level` units.
    pub(super) fn new(now_ms: u64, terms: QuotaTerms, quota: Quota, level: f64) -> Self {
        Self {
            per_s: terms.per_s(&quota),
            burst: quota.burst,
            level,
            updated_ms: now_ms,
            assumed: 0.0,
            heard_part: 1.0,
            own_part: None,
            settled_part: None,
            others_part: 0.0,
            known_asked_per_s: 0.0,
            known_used: 0.0,
            own_used: 0.0,
            own_meter: RateMeter::default(),
            others_asked_per_s: 0.0,
            mean_cost: 0.0,
            reported_used: 0.0,
            settled_used: 0.0,
            asked_ms: None,
            has_reports: false,
        }
    }

    /// Changes the quota from now on.
    pub(super) fn set_quota(&mut self, now_ms: u64, terms: QuotaTerms, quota: Quota) {
        self.refill(now_ms);
        self.per_s = terms.per_s(&quota);
        self.burst = quota.burst;
        self.level = self.level.min(self.burst);
    }

    /// Records that a request of `cost` units has come.
    pub(super) fn asked(&mut self, now_ms: u64, cost: f64) {
        self.learn_cost(cost);
        self.own_meter.add(now_ms, cost);
        self.asked_ms = Some(now_ms);
    }

    /// Decides on a request of `cost` units and charges it if it is admitted.
    ///
    /// `random` is drawn from 0 to 1.
    pub(super) fn admit(
        &mut self,
        now_ms: u64,
        cost: f64,
        gateways: usize,
        random: f64,
    ) -> QuotaDecision {
        self.refill(now_ms);
        if random >= self.admitted_part(gateways) {
            let asked_per_s = self.asked_per_s(now_ms);
            return QuotaDecision::Refused {
                retry_in_ms: self.retry_in_ms(now_ms, cost),
                level: self.level,
                asked_per_s,
                is_momentary: self.level >= cost && asked_per_s < self.per_s,
            };
        }
        self.level -= cost;
        self.own_used += cost;
        QuotaDecision::Admitted(cost)
    }

    /// Gives back the units of a request that was not run.
    pub(super) fn give_back(&mut self, cost: f64) {
        self.level += cost;
        self.own_used -= cost;
    }

    /// Sets the part of the accruing units that is for gateways which are heard; the others may use the
    /// rest on their own.
    pub(super) fn set_heard_part(&mut self, now_ms: u64, heard_part: f64) {
        self.refill(now_ms);
        self.heard_part = heard_part;
    }

    /// Charges what a silent gateway may have used.
    pub(super) fn assume(&mut self, now_ms: u64, units: f64) {
        self.refill(now_ms);
        self.level -= units;
        self.assumed += units;
        self.has_reports = true;
    }

    /// Charges what another gateway has used, in place of what was assumed.
    pub(super) fn charge(&mut self, now_ms: u64, new: NewUse) {
        self.refill(now_ms);
        let returned = new.assumed.min(self.assumed);
        self.assumed -= returned;
        self.level = (self.level + returned - new.used).min(self.burst);
        self.others_asked(new.asked_per_s);
        self.others_have(new.part);
        self.has_reports = true;
    }

    /// Changes what the others are asked for in a second.
    pub(super) fn others_asked(&mut self, change_per_s: f64) {
        self.others_asked_per_s = (self.others_asked_per_s + change_per_s).max(0.0);
    }

    /// Changes the part of the quota that the others have.
    pub(super) fn others_have(&mut self, change: f64) {
        self.others_part = (self.others_part + change).max(0.0);
    }

    /// Forgets that other gateways have reported since their use was last known.
    pub(super) fn forget_reports(&mut self) {
        self.has_reports = false;
    }

    /// Takes the settled parts of the gateways that are heard as their part of the accruing units.
    ///
    /// The others may go on with theirs. `count_part` stands in where no gateway knows a part.
    pub(super) fn learn_heard_part(&mut self, now_ms: u64, count_part: f64) {
        let heard_part = match self.settled_part {
            Some(own_part) => (own_part + self.others_part).clamp(HEARD_PART_MIN, 1.0),
            None => count_part,
        };
        self.set_heard_part(now_ms, heard_part);
    }

    /// Takes over the level that the lease holder tells, which includes what this gateway has reported.
    pub(super) fn told(&mut self, now_ms: u64, told: &TeamLevel) {
        self.refill(now_ms);
        self.heard_part = 1.0;
        self.level = told.level - (self.own_used - self.reported_used);
        self.settled_used = self.reported_used;
        self.known_used = self.reported_used;
        self.known_asked_per_s = told.asked_per_s;
        self.learn_own_part(now_ms);
        self.settle_part();
    }

    /// Returns the level to tell the others.
    ///
    /// `are_parts_told` is whether the others report the parts that follow from what they were told.
    pub(super) fn tell(&mut self, now_ms: u64, team: &TeamName, are_parts_told: bool) -> TeamLevel {
        self.refill(now_ms);
        self.others_known(now_ms);
        if are_parts_told {
            self.settle_part();
        }
        TeamLevel {
            team: team.clone(),
            level: self.level,
            asked_per_s: self.known_asked_per_s,
        }
    }

    /// Returns the level and the demand as this gateway knows them.
    pub(super) fn known(&mut self, now_ms: u64, team: &TeamName) -> TeamLevel {
        self.refill(now_ms);
        TeamLevel {
            team: team.clone(),
            level: self.level,
            asked_per_s: self.asked_per_s(now_ms),
        }
    }

    /// Returns the own use and demand to report.
    ///
    /// What other gateways have reported since the last call becomes known at once, so that the own part
    /// of what is left is taken once in an interval between reports.
    pub(super) fn own_use(&mut self, now_ms: u64, team: &TeamName) -> TeamUse {
        if self.has_reports {
            self.refill(now_ms);
            self.others_known(now_ms);
        }
        self.reported_used = self.own_used;
        TeamUse {
            team: team.clone(),
            used: self.own_used,
            settled: self.settled_used,
            asked_per_s: self.own_meter.per_s(now_ms),
            part: self.settled_part.unwrap_or(0.0),
        }
    }

    /// Returns the time of the last own request, in milliseconds; `None` before the first.
    pub(super) fn asked_ms(&self) -> Option<u64> {
        self.asked_ms
    }

    /// Returns the part of own requests that may be admitted now, so that the units which they take make
    /// up the own part of what is left.
    ///
    /// Requests of all sizes are admitted alike, and the last units let a part of them through: a gateway
    /// whose part is below the cost of a request admits one now and then.
    fn admitted_part(&self, gateways: usize) -> f64 {
        if gateways <= 1 {
            return if self.level > 0.0 { 1.0 } else { 0.0 };
        }
        let used_since = self.own_used - self.known_used;
        let available = self.level + used_since;
        if used_since <= 0.0 && available >= self.burst * PLENTY_PART {
            return 1.0;
        }
        let equal_part = 1.0 / f64::from(u32::try_from(gateways).unwrap_or(u32::MAX));
        let part = self.own_part.unwrap_or(equal_part);
        (part * available - used_since) / self.mean_cost.max(1.0)
    }

    fn learn_cost(&mut self, cost: f64) {
        if self.mean_cost <= 0.0 {
            self.mean_cost = cost;
        }
        self.mean_cost += (cost - self.mean_cost) * NEWEST_WEIGHT;
    }

    /// Returns the units that a gateway with a part of the quota may use in a time in which it hears
    /// nobody.
    pub(super) fn units_of_part(&mut self, now_ms: u64, part: f64, span: AssumedSpan) -> f64 {
        self.refill(now_ms);
        let left = if span.is_first {
            self.level.max(0.0)
        } else {
            0.0
        };
        part * (self.per_s * span.length_s + left)
    }

    /// Notes that the others' use is known as of now.
    fn others_known(&mut self, now_ms: u64) {
        self.has_reports = false;
        self.known_used = self.own_used;
        let heard_per_s = self.own_meter.per_s(now_ms) + self.others_asked_per_s;
        // Gateways that are not heard are assumed to be asked for as much as the others.
        self.known_asked_per_s = heard_per_s / self.heard_part;
        self.learn_own_part(now_ms);
    }

    fn settle_part(&mut self) {
        self.settled_part = self.own_part;
    }

    fn learn_own_part(&mut self, now_ms: u64) {
        if self.known_asked_per_s > 0.0 {
            let part = self.own_meter.per_s(now_ms) / self.known_asked_per_s;
            self.own_part = Some(part.min(1.0));
        }
    }

    fn asked_per_s(&self, now_ms: u64) -> f64 {
        self.known_asked_per_s.max(self.own_meter.per_s(now_ms))
    }

    fn refill(&mut self, now_ms: u64) {
        let accrued = self.per_s * self.heard_part * seconds(self.updated_ms, now_ms);
        self.level = (self.level + accrued).min(self.burst);
        // Without the assumed use, what accrues beyond the burst would have been lost.
        self.assumed = self.assumed.min((self.burst - self.level).max(0.0));
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    /// Returns the time until a request of `cost` units is likely to be admitted, in milliseconds.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to a few seconds"
    )]
    fn retry_in_ms(&self, now_ms: u64, cost: f64) -> u64 {
        let lacking = (cost.min(self.burst) - self.level).max(0.0);
        // What is asked beyond the quota comes back as well, and takes its turn.
        let excess = (self.asked_per_s(now_ms) - self.per_s).max(0.0);
        let wait_s = (lacking + excess * RETURN_PART) / self.per_s;
        (wait_s * MS_PER_S).clamp(0.0, RETRY_MAX_MS) as u64
    }
}
