use chicorystage_api::name::TeamName;

use crate::quota::rate_meter::RateMeter;
use crate::quota::{MS_PER_S, QuotaDecision, QuotaTerms, Sight, TeamUse, seconds};
use crate::teams::Quota;

/// Time in which what is left is used up by a team that asks for more than its quota, in seconds.
const SETTLE_S: f64 = 0.5;
/// Number of report ages whose demand must be left for requests to be admitted without thinning.
const PLENTY_AGES: f64 = 3.0;
/// Number of report ages after which a report is overdue.
const OVERDUE_AGES: u64 = 2;
/// Units of an isolated gateway's part that may be used at once, as a time at the part's rate, in
/// seconds.
const ISOLATED_BURST_S: f64 = 0.25;
/// Part of an equal share that an isolated gateway has for a team that asked nothing of it before.
const NEW_DEMAND_PART: f64 = 0.1;
/// Longest time to come back that is told, in milliseconds.
const RETRY_MAX_MS: f64 = 3_000.0;

/// One gateway's copy of the token bucket that a team has at all gateways together.
#[derive(Clone, Debug)]
pub(super) struct TeamBucket {
    /// Units that accrue in a second.
    per_s: f64,
    burst: f64,
    /// Units left, as far as this gateway knows; negative while there is a debt.
    level: f64,
    updated_ms: u64,
    /// Units left when the others' use was last told; `None` before.
    told_level: Option<f64>,
    /// Units asked of all gateways in a second, when the others' use was last told.
    told_asked_per_s: f64,
    /// Own part of what was asked of all gateways when the others' use was last told; `None` before.
    told_own_part: Option<f64>,
    /// Units left of the own part of the quota while the gateway is isolated.
    own_part: f64,
    own_part_updated_ms: u64,
    own_used: f64,
    own_asked: f64,
    own_meter: RateMeter,
    others_meter: RateMeter,
    /// Own use that the last report told.
    reported_used: f64,
    /// Own use that the last level which was told includes.
    settled_used: f64,
    /// Time at which the others' use was last told, in milliseconds.
    told_ms: u64,
    asked_ms: Option<u64>,
}

impl TeamBucket {
    /// Creates a bucket that holds `level` units.
    pub(super) fn new(now_ms: u64, terms: QuotaTerms, quota: Quota, level: f64) -> Self {
        Self {
            per_s: terms.per_s(&quota),
            burst: quota.burst,
            level,
            updated_ms: now_ms,
            told_level: None,
            told_asked_per_s: 0.0,
            told_own_part: None,
            own_part: 0.0,
            own_part_updated_ms: now_ms,
            own_used: 0.0,
            own_asked: 0.0,
            own_meter: RateMeter::default(),
            others_meter: RateMeter::default(),
            reported_used: 0.0,
            settled_used: 0.0,
            told_ms: now_ms,
            asked_ms: None,
        }
    }

    /// Changes the quota from now on.
    pub(super) fn set_quota(&mut self, now_ms: u64, terms: QuotaTerms, quota: Quota) {
        self.refill(now_ms);
        self.per_s = terms.per_s(&quota);
        self.burst = quota.burst;
        self.level = self.level.min(self.burst);
        self.told_level = self.told_level.map(|level| level.min(self.burst));
    }

    /// Decides on a request of `cost` units and charges it if it is admitted.
    ///
    /// `random` is drawn from 0 to 1.
    pub(super) fn admit(
        &mut self,
        now_ms: u64,
        cost: f64,
        random: f64,
        sight: Sight,
    ) -> QuotaDecision {
        self.refill(now_ms);
        self.own_asked += cost;
        self.own_meter.add(now_ms, cost);
        self.asked_ms = Some(now_ms);
        // The last units let a request of any size through, so that large ones are not refused more
        // often than small ones.
        let has_units = self.level > 0.0;
        let is_admitted = match sight {
            Sight::Alone => has_units,
            Sight::Reports { age_ms } => has_units && random < self.admitted_part(now_ms, age_ms),
            Sight::Isolated { gateways } => {
                self.refill_own_part(now_ms, gateways);
                has_units && self.own_part > 0.0
            }
        };
        if !is_admitted {
            return QuotaDecision::Refused {
                retry_in_ms: self.retry_in_ms(now_ms, cost),
                level: self.level,
                asked_per_s: self.asked_per_s(now_ms),
            };
        }
        self.own_part -= cost;
        self.level -= cost;
        self.own_used += cost;
        QuotaDecision::Admitted(cost)
    }

    /// Gives back the units of a request that was not run.
    pub(super) fn give_back(&mut self, cost: f64) {
        self.level += cost;
        self.own_used -= cost;
    }

    /// Charges what another gateway has used.
    pub(super) fn charge(&mut self, now_ms: u64, used: f64, asked: f64) {
        self.refill(now_ms);
        self.level = (self.level - used).min(self.burst);
        self.others_meter.add(now_ms, asked);
        self.now_known(now_ms);
    }

    /// Takes over the level that the lease holder tells, which includes what this gateway has reported.
    pub(super) fn told(&mut self, now_ms: u64, level: f64, asked_per_s: f64) {
        self.refill(now_ms);
        self.level = level - (self.own_used - self.reported_used);
        self.others_known(now_ms, asked_per_s);
        self.settled_used = self.reported_used;
    }

    /// Returns the level to tell the others, and what the team asks all gateways for in a second.
    pub(super) fn to_tell(&mut self, now_ms: u64) -> (f64, f64) {
        self.refill(now_ms);
        self.now_known(now_ms);
        (self.level, self.told_asked_per_s)
    }

    /// Returns the own use and demand to report.
    pub(super) fn own_use(&mut self, team: &TeamName) -> TeamUse {
        self.reported_used = self.own_used;
        TeamUse {
            team: team.clone(),
            used: self.own_used,
            asked: self.own_asked,
            settled: self.settled_used,
        }
    }

    /// Returns the time of the last own request, in milliseconds; `None` before the first.
    pub(super) fn asked_ms(&self) -> Option<u64> {
        self.asked_ms
    }

    fn refill(&mut self, now_ms: u64) {
        let accrued = self.per_s * seconds(self.updated_ms, now_ms);
        self.level = (self.level + accrued).min(self.burst);
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    /// Notes that what others use is known as of now.
    fn now_known(&mut self, now_ms: u64) {
        let asked_per_s = self.own_meter.per_s(now_ms) + self.others_meter.per_s(now_ms);
        self.others_known(now_ms, asked_per_s);
    }

    fn others_known(&mut self, now_ms: u64, asked_per_s: f64) {
        self.told_ms = now_ms;
        self.told_level = Some(self.level);
        self.told_asked_per_s = asked_per_s;
        if asked_per_s > 0.0 {
            self.told_own_part = Some((self.own_meter.per_s(now_ms) / asked_per_s).min(1.0));
        }
    }

    /// Returns the part of the requests that may be admitted, so that all gateways together use what
    /// accrues, and use up what is left within [`SETTLE_S`].
    fn admitted_part(&self, now_ms: u64, age_ms: u64) -> f64 {
        let asked_per_s = self.asked_per_s(now_ms);
        let level = self.level_unless_told(now_ms, age_ms, asked_per_s - self.per_s);
        let plenty = asked_per_s * seconds(0, age_ms) * PLENTY_AGES;
        if level >= plenty {
            return 1.0;
        }
        (self.per_s + level / SETTLE_S) / asked_per_s
    }

    /// Returns the level that was told, less what all gateways may have used since if the next report is
    /// overdue.
    fn level_unless_told(&self, now_ms: u64, age_ms: u64, falling_per_s: f64) -> f64 {
        let level = self.told_level.unwrap_or(0.0);
        let due_ms = self.told_ms + age_ms * OVERDUE_AGES;
        let fallen = falling_per_s.max(0.0) * seconds(due_ms, now_ms);
        if level > 0.0 {
            (level - fallen).max(0.0)
        } else {
            level
        }
    }

    fn asked_per_s(&self, now_ms: u64) -> f64 {
        self.told_asked_per_s.max(self.own_meter.per_s(now_ms))
    }

    /// Adds the own part of the quota: the own part of what was asked when others were last heard, or an
    /// equal one if nobody was.
    fn refill_own_part(&mut self, now_ms: u64, gateways: usize) {
        let equal_part = 1.0 / f64::from(u32::try_from(gateways.max(1)).unwrap_or(u32::MAX));
        let part = self
            .told_own_part
            .map_or(equal_part, |told| told.max(equal_part * NEW_DEMAND_PART));
        let per_s = self.per_s * part;
        // After a time with reports, the part begins anew.
        let elapsed_s = seconds(self.own_part_updated_ms, now_ms).min(ISOLATED_BURST_S);
        self.own_part = (self.own_part + per_s * elapsed_s).min(per_s * ISOLATED_BURST_S);
        self.own_part_updated_ms = now_ms;
    }

    /// Returns the time until a request of `cost` units is likely to be admitted, in milliseconds.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to a few seconds"
    )]
    fn retry_in_ms(&self, now_ms: u64, cost: f64) -> u64 {
        let lacking = (cost.min(self.burst) - self.level).max(0.0);
        let excess = (self.asked_per_s(now_ms) - self.per_s).max(0.0);
        // What is asked beyond the quota comes back as well, and takes its turn.
        let wait_s = (lacking + excess * SETTLE_S) / self.per_s;
        (wait_s * MS_PER_S).clamp(0.0, RETRY_MAX_MS) as u64
    }
}
