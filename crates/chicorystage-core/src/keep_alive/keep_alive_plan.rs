/// Plan of how long a replica stays loaded after a request and when it is loaded again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeepAlivePlan {
    /// Time after the last request for which the replica stays loaded, in milliseconds.
    pub keep_alive_ms: u64,
    /// Time in which it is loaded again ahead of use; `None` if prewarming does not pay off.
    pub prewarm: Option<PrewarmWindow>,
}

/// Window in which a replica is loaded ahead of use, relative to the last request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrewarmWindow {
    /// Time after the last request by which the replica should be loaded, in milliseconds.
    pub from_ms: u64,
    /// Time after the last request until which it stays loaded without a request, in
    /// milliseconds.
    pub until_ms: u64,
}
