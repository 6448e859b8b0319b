use derive_more::Display;

use crate::latency::WaitReason;

/// Stage that took the most time of a late answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LateCause {
    /// The wait at the router.
    #[display("wait for {_0}")]
    Wait(WaitReason),
    /// The time from the end of the wait to the first event: the way to the endpoint, its queue
    /// and the prompt, and failed attempts.
    #[display("endpoint")]
    Endpoint,
    /// A pause between two events, after a first event in time.
    #[display("pause")]
    Pause,
}
