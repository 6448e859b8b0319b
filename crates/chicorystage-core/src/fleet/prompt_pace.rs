/// Prompt tokens that all routers together send to an engine per millisecond.
///
/// Engines process about 40 per millisecond; the remainder is left for the tokens of running
/// answers.
const TOKENS_PER_MS: f64 = 22.0;

/// Paces the prompts that this process sends to one engine.
///
/// An engine processes prompts between the tokens of the answers that it generates, so a burst of
/// prompts delays the next event of every running answer. Each router therefore limits its own
/// prompts to an equal share of a token rate below the engine's maximum, among the routers that
/// have requests there.
#[derive(Clone, Copy, Debug, Default)]
pub struct PromptPace {
    /// Time at which the prompts sent so far are processed at the share of the rate that this
    /// process has, in milliseconds.
    processed_until_ms: f64,
}

impl PromptPace {
    /// Records that a prompt was sent to an engine that `routers` routers share.
    pub fn sent(&mut self, now_ms: u64, tokens: u64, routers: usize) {
        let share_tokens_per_ms = TOKENS_PER_MS / as_f64(routers.max(1) as u64);
        let from_ms = self.processed_until_ms.max(as_f64(now_ms));
        self.processed_until_ms = from_ms + as_f64(tokens) / share_tokens_per_ms;
    }

    /// Returns how long the next prompt should be deferred, in milliseconds.
    #[must_use]
    pub fn defer_ms(&self, now_ms: u64) -> f64 {
        (self.processed_until_ms - as_f64(now_ms)).max(0.0)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times and lengths are far below the mantissa"
)]
fn as_f64(value: u64) -> f64 {
    value as f64
}
