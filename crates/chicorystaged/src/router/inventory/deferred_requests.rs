use std::collections::VecDeque;

use crate::router::event::RouterEvent;

/// Maximum number of deferred requests; requests above it are decided immediately.
const DEFERRED_MAX: usize = 1_024;
/// Maximum time that a request is deferred, in milliseconds.
const DEFER_MAX_MS: u64 = 500;

/// Requests deferred until the inventory copy is confirmed as recent.
///
/// In a process that was paused or has just started, the confirmation of the
/// copy has expired, although one read of the head row would renew it. Requests
/// wait for that read instead of being refused.
#[derive(Debug, Default)]
pub(crate) struct DeferredRequests {
    waiting: VecDeque<DeferredRequest>,
}

#[derive(Debug)]
struct DeferredRequest {
    until_ms: u64,
    event: RouterEvent,
}

impl DeferredRequests {
    /// Defers a request; returns it if the queue is full.
    pub(crate) fn defer(&mut self, event: RouterEvent, now_ms: u64) -> Option<RouterEvent> {
        if self.waiting.len() >= DEFERRED_MAX {
            return Some(event);
        }
        self.waiting.push_back(DeferredRequest {
            until_ms: now_ms + DEFER_MAX_MS,
            event,
        });
        None
    }

    /// Removes and returns the requests to decide now: all if the copy is `confirmed`,
    /// else those whose maximum wait has passed.
    pub(crate) fn take_due(&mut self, confirmed: bool, now_ms: u64) -> Vec<RouterEvent> {
        let due = |deferred: &&DeferredRequest| confirmed || deferred.until_ms <= now_ms;
        // The maximum wait is the same for all, so they become due in queue order.
        let count = self.waiting.iter().take_while(due).count();
        self.waiting
            .drain(..count)
            .map(|deferred| deferred.event)
            .collect()
    }
}
