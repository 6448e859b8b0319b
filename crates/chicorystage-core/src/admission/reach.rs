/// Whether a deadline can be met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// The estimated wait fits into the time left.
    InTime,
    /// It does not; coming back after the delay may help.
    TooLate {
        /// Delay after which to come back, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Compares an estimated wait with the time that a request has left.
#[must_use]
pub fn reach(estimated_wait_ms: u64, time_left_ms: u64) -> Reach {
    if estimated_wait_ms < time_left_ms {
        return Reach::InTime;
    }
    Reach::TooLate {
        retry_after_ms: (estimated_wait_ms - time_left_ms).max(1),
    }
}
