use std::collections::HashSet;

/// State of one request during the replay.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestState {
    pub(crate) arrived_ms: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) at_worker_ms: Option<u64>,
    pub(crate) worker: Option<usize>,
    pub(crate) started_ms: Option<u64>,
    /// Whether the model was not loaded when the request reached a worker.
    pub(crate) cold: bool,
    pub(crate) cold_ms: u64,
    pub(crate) requested_additional_slot: bool,
    pub(crate) avoided_workers: HashSet<usize>,
    pub(crate) finished: bool,
}
