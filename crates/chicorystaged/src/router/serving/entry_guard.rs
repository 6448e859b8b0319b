use chicorystage_api::inventory::CallerItem;

use crate::router::event::RouterEvent;
use crate::router::handle::RouterHandle;
use crate::router::serving::event::ServingEvent;

/// Guard of a request that counts against its caller's limits until it is dropped.
#[derive(Debug)]
pub struct EntryGuard {
    handle: RouterHandle,
    caller: CallerItem,
    body_bytes: u64,
    received_ms: u64,
}

impl EntryGuard {
    pub(crate) fn new(
        handle: RouterHandle,
        caller: CallerItem,
        body_bytes: u64,
        received_ms: u64,
    ) -> Self {
        Self {
            handle,
            caller,
            body_bytes,
            received_ms,
        }
    }

    /// Releases the reserved bytes in excess of the body's actual size.
    ///
    /// Does nothing if the body is larger than the reservation.
    pub(crate) fn shrink(&mut self, body_bytes: u64) {
        let Some(excess_bytes) = self.body_bytes.checked_sub(body_bytes) else {
            return;
        };
        self.body_bytes = body_bytes;
        let release = ServingEvent::ReleaseBytes { excess_bytes };
        self.handle.send_detached(RouterEvent::Serving(release));
    }

    /// Returns the caller's inventory item, with its limits.
    #[must_use]
    pub fn caller(&self) -> &CallerItem {
        &self.caller
    }

    /// Returns the router's clock at the arrival of the request, in milliseconds.
    #[must_use]
    pub fn received_ms(&self) -> u64 {
        self.received_ms
    }
}

impl Drop for EntryGuard {
    fn drop(&mut self) {
        let ended = ServingEvent::RequestEnded {
            caller: self.caller.name.clone(),
            body_bytes: self.body_bytes,
        };
        self.handle.send_detached(RouterEvent::Serving(ended));
    }
}
