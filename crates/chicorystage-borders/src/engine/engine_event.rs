use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One event of the stream in which an engine sends a completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EngineEvent {
    /// The next token.
    Token {
        /// Number of the token, counted from 0.
        offset_tokens: u64,
        /// Text of the token.
        text: Arc<str>,
    },
    /// The completion ended and all its tokens were sent.
    Done {
        /// Number of tokens in the whole completion.
        tokens: u64,
    },
    /// The engine aborted the completion.
    Failed {
        /// Human-readable reason.
        detail: Arc<str>,
    },
}
