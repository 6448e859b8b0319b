use serde::{Deserialize, Serialize};

/// Load of an engine as it was some time ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Completions running.
    pub running: u32,
    /// Completions waiting inside the engine.
    pub waiting: u32,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}
