use serde::{Deserialize, Serialize};

/// Figures of a finished attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndSummary {
    /// Tokens generated; 0 for a service call.
    pub tokens: u32,
    /// Time in the agent's queue, in milliseconds.
    pub queued_ms: u64,
    /// Time that a model or adapter load took, in milliseconds; 0 when warm.
    pub cold_start_ms: u64,
}
