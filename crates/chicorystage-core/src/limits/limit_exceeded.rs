/// The limit that a request would exceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitExceeded {
    /// The caller's token bucket is empty.
    Rate {
        /// Delay until the next token, in milliseconds; `None` if the rate is 0.
        retry_after_ms: Option<u64>,
    },
    /// The caller has as many requests in progress as it may have.
    Concurrency,
}
