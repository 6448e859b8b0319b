use std::collections::VecDeque;

use crate::router::event::RouterEvent;

/// Requests held at once; more are decided at once.
const HELD_MAX: usize = 1_024;
/// Longest time that a request is held, in milliseconds.
const HOLD_MAX_MS: u64 = 500;

/// Requests that wait for the rules to be confirmed.
///
/// A process that was paused, or has just started, finds its rules stale though
/// one read of the head would confirm them. Its requests wait for that read
/// instead of being refused.
#[derive(Debug, Default)]
pub(crate) struct HeldRequests {
    waiting: VecDeque<Held>,
}

#[derive(Debug)]
struct Held {
    until_ms: u64,
    event: RouterEvent,
}

impl HeldRequests {
    /// Holds an event; returns it where too many are held.
    pub(crate) fn hold(&mut self, event: RouterEvent, now_ms: u64) -> Option<RouterEvent> {
        if self.waiting.len() >= HELD_MAX {
            return Some(event);
        }
        self.waiting.push_back(Held {
            until_ms: now_ms + HOLD_MAX_MS,
            event,
        });
        None
    }

    /// Returns the events to decide now: all once the rules are confirmed.
    pub(crate) fn release(&mut self, confirmed: bool, now_ms: u64) -> Vec<RouterEvent> {
        let due = |held: &&Held| confirmed || held.until_ms <= now_ms;
        // All are held equally long, so the first ones are due first.
        let count = self.waiting.iter().take_while(due).count();
        self.waiting.drain(..count).map(|held| held.event).collect()
    }
}
