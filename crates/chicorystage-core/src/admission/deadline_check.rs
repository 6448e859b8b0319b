/// Result of comparing an estimated wait with a deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeadlineCheck {
    /// The estimated wait is shorter than the time left.
    InTime,
    /// The estimated wait is too long; a retry after the delay may succeed.
    TooLate {
        /// Delay before the retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Compares an estimated wait with the time left until a request's deadline.
#[must_use]
pub fn check_deadline(estimated_wait_ms: u64, time_left_ms: u64) -> DeadlineCheck {
    if estimated_wait_ms < time_left_ms {
        return DeadlineCheck::InTime;
    }
    DeadlineCheck::TooLate {
        retry_after_ms: (estimated_wait_ms - time_left_ms).max(1),
    }
}
