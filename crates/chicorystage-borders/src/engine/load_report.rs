use serde::{Deserialize, Serialize};

/// Load of an engine, measured [`age_ms`](Self::age_ms) milliseconds before it was read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of running completions.
    pub running: u32,
    /// Number of completions that wait in the engine's own queue.
    pub waiting: u32,
    /// Age of the measurement, in milliseconds.
    pub age_ms: u64,
}
