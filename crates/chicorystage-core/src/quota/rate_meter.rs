use crate::quota::seconds;

/// Time in which the weight of an amount falls to a third, in seconds.
const WINDOW_S: f64 = 2.0;

/// Recent rate of amounts, in units a second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RateMeter {
    weighted: f64,
    updated_ms: u64,
}

impl RateMeter {
    pub(super) fn add(&mut self, now_ms: u64, amount: f64) {
        self.weighted = self.per_s(now_ms) * WINDOW_S + amount;
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    pub(super) fn per_s(&self, now_ms: u64) -> f64 {
        let elapsed_s = seconds(self.updated_ms, now_ms);
        self.weighted / WINDOW_S * (-elapsed_s / WINDOW_S).exp()
    }
}
