/// Time constant of the exponential decay of a request's weight, in milliseconds.
const RATE_DECAY_MS: f64 = 5_000.0;
const MS_PER_S: f64 = 1_000.0;

/// The demand for one model: its recent request rate and shortest latency objective.
#[derive(Clone, Copy, Debug, Default)]
pub struct ModelDemand {
    /// Number of requests, each weighted by an exponential decay, as of `updated_ms`.
    weight: f64,
    updated_ms: u64,
    /// Shortest latency objective of any request, in milliseconds.
    pub objective_ms: u64,
    /// Time of the last request, in milliseconds; `None` if there was none.
    pub last_request_ms: Option<u64>,
}

impl ModelDemand {
    /// Records `count` requests with a latency objective in milliseconds.
    pub fn record(&mut self, now_ms: u64, count: u32, objective_ms: u64) {
        self.weight = self.weight_at(now_ms) + f64::from(count);
        self.updated_ms = now_ms;
        let shortest = self
            .last_request_ms
            .map_or(objective_ms, |_| self.objective_ms);
        self.objective_ms = shortest.min(objective_ms);
        self.last_request_ms = Some(now_ms);
    }

    /// Returns the exponentially weighted request rate, in requests a second.
    #[must_use]
    pub fn rate_per_s(&self, now_ms: u64) -> f64 {
        self.weight_at(now_ms) * MS_PER_S / RATE_DECAY_MS
    }

    fn weight_at(&self, now_ms: u64) -> f64 {
        #[expect(
            clippy::cast_precision_loss,
            reason = "ages of interest are far below the mantissa"
        )]
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.weight * (-age_ms / RATE_DECAY_MS).exp()
    }
}
