use std::collections::VecDeque;

use crate::retry::{BudgetShare, BudgetUsage, Predecessor, RetryBudgetSettings};

/// Share of the ratio that is used.
///
/// First attempts of one window may fall into two adjacent windows of the deployment's bound, which
/// counts only the one that has more of them.
const RATIO_SHARE: f64 = 0.5;
/// Share of the allowance that is used; the rest covers routers that are not known yet, or what a
/// predecessor has spent.
const ALLOWANCE_SHARE: f64 = 0.7;
/// Share of the allowance that is used in the first window after a settled predecessor, which may
/// have spent [`ALLOWANCE_SHARE`] in the same window.
const FIRST_ALLOWANCE_SHARE: f64 = 1.0 - ALLOWANCE_SHARE;
/// Buckets into which a window is divided, as far as it is divisible.
const BUCKETS: u64 = 20;

/// One router's part of a retry budget that all routers share.
///
/// In any window, the retries of all routers together must not exceed a ratio
/// of their first attempts plus a fixed allowance. Each router limits itself
/// to that ratio of its own first attempts plus an equal part of the
/// allowance, so that the routers need not exchange messages.
///
/// A retry may arrive later than it was taken, in a window that no longer counts the first attempts
/// that allowed it. The retries in flight are therefore also limited by the first attempts of the
/// last half window. With that the bound holds if each retry arrives within half a window.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    settings: RetryBudgetSettings,
    started_ms: u64,
    bucket_ms: u64,
    /// Retries that were taken and may still be on their way to an endpoint.
    in_flight: u32,
    /// First attempts and settled retries of the last window and of the whole bucket in which it begins,
    /// oldest bucket first.
    ///
    /// Retries count for at least a window and first attempts for at most one, so that rounding to
    /// buckets never allows additional retries.
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    number: u64,
    first_attempts: u32,
    retries: u32,
}

impl SharedRetryBudget {
    /// Creates the budget of a router that starts at `started_ms`.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings, started_ms: u64) -> Self {
        Self {
            settings,
            started_ms,
            bucket_ms: (settings.window_ms / BUCKETS).max(1),
            in_flight: 0,
            buckets: VecDeque::new(),
        }
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self, now_ms: u64) {
        self.current_bucket(now_ms).first_attempts += 1;
    }

    /// Takes one retry from the budget; returns false, and takes nothing, if none is left.
    ///
    /// `share` is `None` if the other routers do not know this one yet; then it has no part of the
    /// allowance. The caller calls [`Self::settle`] once for each retry that it has taken.
    pub fn try_take(&mut self, now_ms: u64, share: Option<BudgetShare>) -> bool {
        if !self.usage(now_ms, share).allows_retry() {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// Records that a retry has arrived or will never arrive; it counts for a window from then on.
    ///
    /// The bound holds for arrivals, which may be later than the retry was taken.
    pub fn settle(&mut self, now_ms: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.current_bucket(now_ms).retries += 1;
    }

    /// Returns what is counted and allowed at `now_ms`; `share` is as in [`Self::try_take`].
    pub fn usage(&mut self, now_ms: u64, share: Option<BudgetShare>) -> BudgetUsage {
        self.current_bucket(now_ms);
        let settled: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let whole_buckets = self.settings.window_ms / self.bucket_ms;
        let first_attempts = self.first_attempts(now_ms, whole_buckets);
        let recent_first_attempts = self.first_attempts(now_ms, whole_buckets / 2);
        let allowance = share.map_or(0.0, |share| self.own_allowance(now_ms, share));
        let limit_of = |first_attempts: u32| {
            RATIO_SHARE * self.settings.ratio * f64::from(first_attempts) + allowance
        };
        BudgetUsage {
            first_attempts,
            retries: settled + self.in_flight,
            limit: limit_of(first_attempts),
            in_flight: self.in_flight,
            in_flight_limit: limit_of(recent_first_attempts),
        }
    }

    /// Returns the first attempts of the last whole buckets, the current one included.
    fn first_attempts(&self, now_ms: u64, buckets: u64) -> u32 {
        let number = now_ms / self.bucket_ms;
        let within = self
            .buckets
            .iter()
            .filter(|bucket| bucket.number + buckets > number);
        within.map(|bucket| bucket.first_attempts).sum()
    }

    /// Returns this router's part of the allowance.
    fn own_allowance(&self, now_ms: u64, share: BudgetShare) -> f64 {
        let is_first_window = now_ms < self.started_ms + self.settings.window_ms;
        let part = match share.predecessor {
            Predecessor::Settled if is_first_window => FIRST_ALLOWANCE_SHARE,
            Predecessor::Recent if is_first_window => 0.0,
            _ => ALLOWANCE_SHARE,
        };
        #[expect(
            clippy::cast_precision_loss,
            reason = "routers are far fewer than the mantissa holds"
        )]
        let routers = share.routers.max(1) as f64;
        part * self.settings.allowance / routers
    }

    fn current_bucket(&mut self, now_ms: u64) -> &mut Bucket {
        let number = now_ms / self.bucket_ms;
        let begun_buckets = self.settings.window_ms.div_ceil(self.bucket_ms);
        while let Some(oldest) = self.buckets.front() {
            if oldest.number + begun_buckets >= number {
                break;
            }
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|last| last.number < number) {
            self.buckets.push_back(Bucket {
                number,
                first_attempts: 0,
                retries: 0,
            });
        }
        self.buckets
            .back_mut()
            .expect("a bucket was pushed where there was none")
    }
}
