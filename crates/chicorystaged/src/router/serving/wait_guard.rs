use chicorystage_api::name::CallerName;
use chicorystage_core::suspects::DigestStatus;

use crate::router::event::RouterEvent;
use crate::router::handle::RouterHandle;
use crate::router::serving::event::ServingEvent;

/// Guard of a request's place in the wait queue; released on drop.
#[derive(Debug)]
pub struct WaitGuard {
    handle: RouterHandle,
    caller: CallerName,
    digest_status: DigestStatus,
}

impl WaitGuard {
    pub(crate) fn new(
        handle: RouterHandle,
        caller: CallerName,
        digest_status: DigestStatus,
    ) -> Self {
        Self {
            handle,
            caller,
            digest_status,
        }
    }

    /// Returns the status of the work's digest when the request entered the queue.
    pub(crate) fn digest_status(&self) -> DigestStatus {
        self.digest_status
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let ended = ServingEvent::WaitEnded {
            caller: self.caller.clone(),
        };
        self.handle.send_detached(RouterEvent::Serving(ended));
    }
}
