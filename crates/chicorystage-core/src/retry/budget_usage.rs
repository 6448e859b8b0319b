/// What a router counts in its window, and how many retries that allows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BudgetUsage {
    /// First attempts that allow retries.
    pub first_attempts: u32,
    /// Retries that were taken, those that may not have arrived yet included.
    pub retries: u32,
    /// Number of retries that may be taken in the window, a fraction of one included.
    pub limit: f64,
    /// Retries that may not have arrived yet.
    pub in_flight: u32,
    /// Number of retries that may be in flight at once, a fraction of one included.
    pub in_flight_limit: f64,
}

impl BudgetUsage {
    /// Returns whether another retry stays within both limits.
    #[must_use]
    pub fn allows_retry(&self) -> bool {
        f64::from(self.retries + 1) <= self.limit
            && f64::from(self.in_flight + 1) <= self.in_flight_limit
    }
}
