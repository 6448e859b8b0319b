use serde::{Deserialize, Serialize};

/// Load of an endpoint, carried on the frames of its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Attempts running.
    pub running: u32,
    /// Attempts waiting in the agent's queue.
    pub queued: u32,
    /// Smoothed time that an attempt runs, in milliseconds.
    pub service_time_ms: u64,
    /// Attempts that the endpoint runs at once.
    pub slots: u32,
}
