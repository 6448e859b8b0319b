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
    standing: DigestStatus,
}

impl WaitGuard {
    pub(crate) fn new(handle: RouterHandle, caller: CallerName, standing: DigestStatus) -> Self {
        Self {
            handle,
            caller,
            standing,
        }
    }

    /// Returns the standing of the work's digest when the request entered the queue.
    pub(crate) fn standing(&self) -> DigestStatus {
        self.standing
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
