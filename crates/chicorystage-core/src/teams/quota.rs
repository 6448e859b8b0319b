/// How much a team may ask of all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units a second.
    pub per_s: f64,
    /// Units beyond the rate that may be used at once.
    pub burst: f64,
    /// What is counted.
    pub unit: QuotaUnit,
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens of the prompt and the longest answer.
    Tokens {
        /// Tokens of a request that states none.
        plain: f64,
    },
}

impl Quota {
    /// Returns what a request costs whose prompt and longest answer have `tokens` together; `None` if it
    /// states none.
    #[must_use]
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match (self.unit, tokens) {
            (QuotaUnit::Requests, _) => 1.0,
            (QuotaUnit::Tokens { plain }, None) => plain,
            #[expect(
                clippy::cast_precision_loss,
                reason = "numbers of tokens are far below the mantissa"
            )]
            (QuotaUnit::Tokens { .. }, Some(tokens)) => tokens as f64,
        }
    }
}
