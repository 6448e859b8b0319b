/// How long a replica stays loaded after a request, and when it returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeepAlivePlan {
    /// Time after the last request for which the replica stays, in milliseconds.
    pub keep_alive_ms: u64,
    /// Time in which it is loaded again ahead of use.
    pub prewarm: Option<PrewarmWindow>,
}

/// Time after the last request in which a replica is loaded ahead of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrewarmWindow {
    /// Time by which the replica should be loaded, in milliseconds.
    pub from_ms: u64,
    /// Time until which it stays without a request, in milliseconds.
    pub until_ms: u64,
}
