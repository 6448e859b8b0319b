use serde::{Deserialize, Serialize};

/// Figures of a finished attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndSummary {
    /// Tokens generated; 0 for a service call.
    pub tokens: u32,
    /// Time in the agent's queue, in milliseconds.
    pub queued_ms: u64,
    /// Time spent on loading the model or adapter, in milliseconds; 0 if it was loaded already.
    pub cold_start_ms: u64,
}
