/// Prompt tokens that an engine is given to read in a millisecond.
///
/// Engines read some forty; what is left is for the tokens of running answers.
const TOKENS_PER_MS: f64 = 22.0;

/// How closely the prompts follow each other that one router sends to an engine.
///
/// An engine reads prompts between the tokens of the answers that it runs, so that prompts
/// that arrive together delay the next event of each answer. Each router spaces its own
/// prompts by its share of what the engine reads easily.
#[derive(Clone, Copy, Debug, Default)]
pub struct PromptPace {
    /// Time at which this router's share is used up to, in milliseconds.
    used_until_ms: f64,
}

impl PromptPace {
    /// Notes that a prompt was sent to an engine that `routers` share.
    pub fn sent(&mut self, now_ms: u64, tokens: u64, routers: usize) {
        let share_tokens_per_ms = TOKENS_PER_MS / as_f64(routers.max(1) as u64);
        let from_ms = self.used_until_ms.max(as_f64(now_ms));
        self.used_until_ms = from_ms + as_f64(tokens) / share_tokens_per_ms;
    }

    /// Returns how long the next prompt should be held back, in milliseconds.
    #[must_use]
    pub fn hold_ms(&self, now_ms: u64) -> f64 {
        (self.used_until_ms - as_f64(now_ms)).max(0.0)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times and lengths are far below the mantissa"
)]
fn as_f64(value: u64) -> f64 {
    value as f64
}
