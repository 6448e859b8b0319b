/// Bound on the retries of all routers to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries allowed per first attempt.
    pub ratio: f64,
    /// Retries allowed in each window beyond the ratio.
    pub allowance: f64,
    /// Length of the window in milliseconds.
    pub window_ms: u64,
}
