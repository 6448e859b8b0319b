use std::sync::Arc;

use chicorystage_api::inventory::Class;
use chicorystage_core::replicas::ReplicaUse;
use tokio::sync::oneshot;

/// An attempt that is running on the endpoint.
#[derive(Debug)]
pub(crate) struct RunningAttempt {
    pub(crate) started_ms: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) class: Class,
    /// Whether the digest is suspected of crashing endpoints; nothing else starts while it runs.
    pub(crate) suspect: bool,
    /// The engine's stream; `None` for a call to a plain service.
    pub(crate) stream: Option<RunningStream>,
}

/// The engine's stream of a running completion.
#[derive(Debug)]
pub(crate) struct RunningStream {
    pub(crate) replica_use: ReplicaUse,
    pub(crate) stream_id: Arc<str>,
    /// Cancels the task that reads the stream when dropped.
    pub(crate) _cancel_on_drop: oneshot::Sender<()>,
}
