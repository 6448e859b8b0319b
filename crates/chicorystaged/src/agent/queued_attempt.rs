use chicorystage_api::peer::AttemptRef;
use chicorystage_api::work::AttemptRequest;

use crate::agent::target::Target;

/// An accepted attempt that waits in the queue.
#[derive(Debug)]
pub(crate) struct QueuedAttempt {
    pub(crate) attempt: AttemptRef,
    pub(crate) request: AttemptRequest,
    /// Replica and adapter that must be loaded first; `None` for a call to a plain service.
    pub(crate) target: Option<Target>,
}
