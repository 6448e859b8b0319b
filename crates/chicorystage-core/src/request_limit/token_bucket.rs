use crate::request_limit::{MS_PER_S, PER_S_MIN, time_ms};

/// Tokens of a full bucket at low rates, so that accrual does not stop until the next request.
const BURST_MIN: f64 = 2.0;
/// Time in which the tokens of a full bucket accrue at high rates, in seconds.
const BURST_S: f64 = 0.05;

/// A token bucket that starts empty.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    per_s: f64,
    tokens: f64,
    updated_ms: u64,
}

impl TokenBucket {
    /// Creates an empty bucket that fills at a rate.
    pub(super) fn new(now_ms: u64, per_s: f64) -> Self {
        Self {
            per_s: per_s.max(PER_S_MIN),
            tokens: 0.0,
            updated_ms: now_ms,
        }
    }

    /// Changes the rate from now on.
    pub(super) fn set_rate(&mut self, now_ms: u64, per_s: f64) {
        self.refill(now_ms);
        self.per_s = per_s.max(PER_S_MIN);
        self.refill(now_ms);
    }

    /// Returns the rate, in tokens a second.
    pub(super) fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Takes one token if there is one.
    pub(super) fn try_take(&mut self, now_ms: u64) -> bool {
        self.refill(now_ms);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the time until there are `count` tokens if none is taken, in milliseconds.
    pub(super) fn time_until_ms(&mut self, now_ms: u64, count: f64) -> u64 {
        self.refill(now_ms);
        time_ms(count - self.tokens, self.per_s)
    }

    fn refill(&mut self, now_ms: u64) {
        #[expect(clippy::cast_precision_loss, reason = "a time below a year")]
        let elapsed_s = now_ms.saturating_sub(self.updated_ms) as f64 / MS_PER_S;
        let capacity = (self.per_s * BURST_S).max(BURST_MIN);
        self.tokens = (self.tokens + elapsed_s * self.per_s).min(capacity);
        self.updated_ms = self.updated_ms.max(now_ms);
    }
}
