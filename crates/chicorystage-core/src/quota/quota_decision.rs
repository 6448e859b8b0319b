/// Whether a request is within its team's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// It is, and was charged this many units.
    Admitted(f64),
    /// It is not.
    Refused {
        /// Time until the team's next requests are likely to be admitted, in milliseconds.
        retry_in_ms: u64,
        /// Units that were left.
        level: f64,
        /// Units that the team asks all gateways for in a second.
        asked_per_s: f64,
        /// Whether the team is within its quota and has units left, so that only this gateway's part of
        /// them is used up until the next report.
        is_momentary: bool,
    },
}
