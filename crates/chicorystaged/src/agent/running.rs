use std::sync::Arc;

use chicorystage_api::inventory::Class;
use chicorystage_core::replicas::ReplicaUse;
use tokio::sync::oneshot;

/// An attempt that the endpoint runs.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) started_ms: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) class: Class,
    pub(crate) suspect: bool,
    /// The engine's part; none for a call of a plain service.
    pub(crate) stream: Option<RunningStream>,
}

/// A completion on the engine.
#[derive(Debug)]
pub(crate) struct RunningStream {
    pub(crate) used: ReplicaUse,
    pub(crate) stream_id: Arc<str>,
    /// Ends the task that reads the stream when it is dropped.
    pub(crate) _reader: oneshot::Sender<()>,
}
