use std::collections::VecDeque;

use crate::orders::running_loads::RunningLoads;

/// Initial estimate of the concurrent loads that the weight store serves at full speed.
const CONCURRENCY_INITIAL: f64 = 1.0;
/// Minimum and maximum of the estimate.
const CONCURRENCY_RANGE: (f64, f64) = (1.0, 8.0);
/// Ratio of actual to expected duration below which a load counts as full speed.
const FULL_SPEED_SLOWDOWN_MAX: f64 = 1.2;
/// Increase of the estimate after a load at full speed, until a load was slower.
const GROWTH: f64 = 1.0;
/// Factor from the loads that ran together at full speed to the largest estimate that they justify.
const GROWTH_FACTOR_MAX: f64 = 2.0;
/// Increase of the estimate after a load at full speed, once any load was slower.
const GROWTH_AFTER_SLOWDOWN: f64 = 0.25;
/// Weight of a new observation in the exponentially weighted average.
const OBSERVATION_WEIGHT: f64 = 0.5;

/// Limits concurrent loads from the weight store over all engines.
///
/// Loads beyond the store's capacity slow each other down. The limiter estimates the capacity
/// from the duration of loads, and also enforces a fixed number of starts per window.
#[derive(Clone, Debug)]
pub struct StoreLoadLimiter {
    started_ms: VecDeque<u64>,
    /// Estimate of the concurrent loads that run at full speed.
    concurrency: f64,
    /// Whether any load was slower than full speed.
    has_slowed: bool,
    running: RunningLoads,
}

impl Default for StoreLoadLimiter {
    fn default() -> Self {
        Self {
            started_ms: VecDeque::new(),
            concurrency: CONCURRENCY_INITIAL,
            has_slowed: false,
            running: RunningLoads::default(),
        }
    }
}

impl StoreLoadLimiter {
    /// Returns whether another load may start.
    ///
    /// `running` is the number of loads in progress, and `limit` the number of starts allowed in
    /// a window of `window_ms`.
    pub fn allows(&mut self, now_ms: u64, running: u32, window_ms: u64, limit: f64) -> bool {
        self.running.record(now_ms, running);
        while let Some(oldest) = self.started_ms.front() {
            if oldest + window_ms > now_ms {
                break;
            }
            self.started_ms.pop_front();
        }
        #[expect(
            clippy::cast_precision_loss,
            reason = "loads of a window are far fewer than the mantissa holds"
        )]
        let started = self.started_ms.len() as f64;
        f64::from(running) + 1.0 <= self.concurrency && started + 1.0 <= limit
    }

    /// Records the start of a load.
    pub fn record_start(&mut self, now_ms: u64) {
        self.started_ms.push_back(now_ms);
    }

    /// Lowers the estimate if a load in progress has exceeded its expected duration.
    ///
    /// `expected_ms` is the duration at full speed, and `running` the number of loads in progress.
    /// An overdue load shows immediately that too many loads run. Its end may be several times as
    /// far away, so the estimate does not wait for it.
    pub fn observe_running(
        &mut self,
        now_ms: u64,
        running: u32,
        expected_ms: f64,
        elapsed_ms: f64,
    ) {
        self.running.record(now_ms, running);
        let slowdown = elapsed_ms / expected_ms.max(1.0);
        if slowdown >= FULL_SPEED_SLOWDOWN_MAX {
            let at_most = self.running.mean(now_ms, elapsed_ms) / slowdown;
            self.has_slowed = true;
            self.concurrency = self.concurrency.min(at_most).max(CONCURRENCY_RANGE.0);
        }
    }

    /// Updates the estimate from a completed load that took `elapsed_ms`.
    ///
    /// `expected_ms` is the duration at full speed, and `running` the number of concurrent loads,
    /// including this one. Loads beyond the store's capacity share its bandwidth, so the number that
    /// ran beside this one divided by the slowdown is the number that runs at full speed. The estimate
    /// doubles until a load is slower, and then grows slowly.
    pub fn observe_completed(
        &mut self,
        now_ms: u64,
        running: u32,
        expected_ms: f64,
        elapsed_ms: f64,
    ) {
        self.running.record(now_ms, running);
        if expected_ms <= 0.0 || elapsed_ms <= 0.0 {
            return;
        }
        let running = self.running.mean(now_ms, elapsed_ms);
        let slowdown = elapsed_ms / expected_ms;
        let next = if slowdown < FULL_SPEED_SLOWDOWN_MAX {
            self.grown(running)
        } else {
            self.has_slowed = true;
            let observed = running / slowdown;
            self.concurrency * (1.0 - OBSERVATION_WEIGHT) + observed * OBSERVATION_WEIGHT
        };
        self.concurrency = next.clamp(CONCURRENCY_RANGE.0, CONCURRENCY_RANGE.1);
    }

    /// Returns the estimate after a load at full speed beside which `running` loads ran, itself
    /// included.
    fn grown(&self, running: f64) -> f64 {
        let more = if self.has_slowed {
            GROWTH_AFTER_SLOWDOWN
        } else {
            GROWTH
        };
        // Few loads that ran together say nothing about many.
        let at_most = (running * GROWTH_FACTOR_MAX).max(running + 1.0);
        (self.concurrency + more).min(at_most).max(self.concurrency)
    }
}
