use std::collections::VecDeque;

/// Loads from the weight store that run at once, until their times show how many should.
const AT_ONCE: f64 = 1.0;
/// Least and most loads that run at once.
const AT_ONCE_RANGE: (f64, f64) = (1.0, 8.0);
/// Slowdown below which a load counts as one at full speed.
const FULL_SPEED: f64 = 1.2;
/// Loads by which their number grows after one at full speed.
const GROWTH: f64 = 1.0;
/// The same once loads were slower than that.
const CAREFUL_GROWTH: f64 = 0.25;
/// Share of the newest observation in the estimate.
const OBSERVATION_WEIGHT: f64 = 0.5;

/// Pace of loads from the weight store over all engines.
#[derive(Clone, Debug)]
pub struct StorePace {
    started_ms: VecDeque<u64>,
    /// Loads that run at once at full speed, as estimated.
    at_once: f64,
    /// Whether loads were ever slower than at full speed.
    has_slowed: bool,
}

impl Default for StorePace {
    fn default() -> Self {
        Self {
            started_ms: VecDeque::new(),
            at_once: AT_ONCE,
            has_slowed: false,
        }
    }
}

impl StorePace {
    /// Returns whether another load may start.
    ///
    /// `running` counts loads under way; `limit` is what a window allows.
    pub fn allows(&mut self, now_ms: u64, running: u32, window_ms: u64, limit: f64) -> bool {
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
        f64::from(running) + 1.0 <= self.at_once && started + 1.0 <= limit
    }

    /// Notes that a load starts.
    pub fn started(&mut self, now_ms: u64) {
        self.started_ms.push_back(now_ms);
    }

    /// Learns from a load that is under way for `elapsed_ms` where `expected_ms` is full speed.
    ///
    /// A load that should have ended shows at once that too many run, and may take several
    /// times as long to its end.
    pub fn runs(&mut self, running: u32, expected_ms: f64, elapsed_ms: f64) {
        let slowdown = elapsed_ms / expected_ms.max(1.0);
        if slowdown >= FULL_SPEED {
            let at_most = f64::from(running.max(1)) / slowdown;
            self.has_slowed = true;
            self.at_once = self.at_once.min(at_most).max(AT_ONCE_RANGE.0);
        }
    }

    /// Learns from a load that took `took_ms` where `expected_ms` is full speed.
    ///
    /// `running` counts the loads that ran with it, itself included. More loads than run at
    /// full speed share its speed, so that their number over the slowdown is what does.
    pub fn ended(&mut self, running: u32, expected_ms: f64, took_ms: f64) {
        if expected_ms <= 0.0 || took_ms <= 0.0 {
            return;
        }
        let slowdown = (took_ms / expected_ms).max(1.0);
        let observed = f64::from(running.max(1)) / slowdown;
        let next = if slowdown < FULL_SPEED {
            let more = if self.has_slowed {
                CAREFUL_GROWTH
            } else {
                GROWTH
            };
            self.at_once.max(observed + more)
        } else {
            self.has_slowed = true;
            self.at_once * (1.0 - OBSERVATION_WEIGHT) + observed * OBSERVATION_WEIGHT
        };
        self.at_once = next.clamp(AT_ONCE_RANGE.0, AT_ONCE_RANGE.1);
    }
}
