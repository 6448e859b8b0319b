use serde::{Deserialize, Serialize};

/// What a gateway may send to a limited endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestGrant {
    /// Number of requests that it may send now.
    pub tokens: u32,
    /// Time until its next token, in milliseconds.
    pub next_in_ms: u64,
    /// Time between two tokens of the gateway after that, in milliseconds.
    pub interval_ms: u64,
}
