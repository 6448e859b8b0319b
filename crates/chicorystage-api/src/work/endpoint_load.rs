use serde::{Deserialize, Serialize};

/// Load of an endpoint, reported on the frames of its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Number of attempts running.
    pub running: u32,
    /// Number of attempts waiting in the agent's queue.
    pub queued: u32,
    /// Smoothed run time of an attempt, in milliseconds.
    pub service_time_ms: u64,
    /// Number of attempts that the endpoint can run at once.
    pub slots: u32,
}
