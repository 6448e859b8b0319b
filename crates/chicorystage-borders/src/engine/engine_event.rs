use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One event of an engine's stream.
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
    /// All tokens were sent.
    Done {
        /// Number of tokens of the whole answer.
        tokens: u64,
    },
    /// The engine gave up the stream.
    Failed {
        /// Why, for a person.
        detail: Arc<str>,
    },
}
