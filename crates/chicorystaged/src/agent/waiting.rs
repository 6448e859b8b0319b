use chicorystage_api::peer::AttemptRef;
use chicorystage_api::work::AttemptRequest;

use crate::agent::target::Target;

/// An accepted attempt that waits in the queue.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) attempt: AttemptRef,
    pub(crate) request: AttemptRequest,
    /// What must be loaded first; none for a call of a plain service.
    pub(crate) target: Option<Target>,
}
