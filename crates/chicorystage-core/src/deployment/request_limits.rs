/// Size and time limits on the HTTP requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest request head, in bytes.
    pub header_bytes_max: usize,
    /// Largest request body, in bytes.
    pub body_bytes_max: usize,
    /// Longest time in which a caller must send a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time that a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            header_bytes_max: 16 << 10,
            body_bytes_max: 4 << 20,
            header_timeout_ms: 5_000,
            idle_timeout_ms: 15_000,
        }
    }
}
