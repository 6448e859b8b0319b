/// Limit that a request would exceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitExceeded {
    /// The caller's request rate.
    Rate {
        /// Delay until the next token, in milliseconds; none where the rate is 0.
        retry_after_ms: Option<u64>,
    },
    /// The caller's requests in progress.
    Concurrency,
}
