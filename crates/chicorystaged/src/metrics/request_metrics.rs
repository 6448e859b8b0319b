use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::histogram::Histogram;

const MS_PER_S: f64 = 1_000.0;

/// Handles to the metrics of one class and tenant, looked up once per request.
#[derive(Clone, Debug)]
pub struct RequestMetrics {
    pub(super) requests: Counter,
    pub(super) wait: Histogram,
    pub(super) cold_start: Histogram,
    pub(super) first_token: Histogram,
    pub(super) between_tokens: Histogram,
    pub(super) answer: Histogram,
}

impl RequestMetrics {
    /// Counts a request that was admitted.
    pub fn count_request(&self) {
        self.requests.inc();
    }

    /// Records the time before a request ran, without the time of model loads.
    pub fn wait_ms(&self, wait_ms: u64) {
        self.wait.observe(seconds(wait_ms));
    }

    /// Records the time that a request waited for a model load.
    pub fn cold_start_ms(&self, cold_start_ms: u64) {
        self.cold_start.observe(seconds(cold_start_ms));
    }

    /// Records the time to the first token.
    pub fn first_token_ms(&self, first_token_ms: u64) {
        self.first_token.observe(seconds(first_token_ms));
    }

    /// Records the time between two successive tokens.
    pub fn between_tokens_ms(&self, between_ms: u64) {
        self.between_tokens.observe(seconds(between_ms));
    }

    /// Records the time to the end of the answer.
    pub fn answer_ms(&self, answer_ms: u64) {
        self.answer.observe(seconds(answer_ms));
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "durations of requests are far below the mantissa"
)]
fn seconds(duration_ms: u64) -> f64 {
    duration_ms as f64 / MS_PER_S
}
