use std::collections::HashSet;

/// State of one request during the replay.
#[derive(Clone, Debug, Default)]
pub(crate) struct Flight {
    pub(crate) arrived_ms: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) at_worker_ms: Option<u64>,
    pub(crate) worker: Option<usize>,
    pub(crate) started_ms: Option<u64>,
    pub(crate) cold: bool,
    pub(crate) cold_ms: u64,
    pub(crate) asked_additional: bool,
    pub(crate) avoid: HashSet<usize>,
    pub(crate) settled: bool,
}
