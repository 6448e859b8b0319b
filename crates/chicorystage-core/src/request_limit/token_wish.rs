use serde::{Deserialize, Serialize};

/// How many tokens of a limited endpoint a gateway wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenWish {
    /// Number of tokens.
    pub tokens: u32,
    /// Time after which no request waits for them any more, in milliseconds.
    pub valid_ms: u64,
}
