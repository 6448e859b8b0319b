//! Pace of the requests that are let through in spite of a quarantine, to find out whether it is right.

use std::cell::Cell;

use rand::RngExt;

/// Average interval between two trials of all gateways together, in milliseconds.
const TRIAL_INTERVAL_MS: u64 = 1_000;

/// Time of the next trial at this gateway.
#[derive(Debug, Default)]
pub struct PartTrials {
    next_ms: Cell<u64>,
}

impl PartTrials {
    /// Puts the next trial off by a random time, which grows with the number of gateways.
    ///
    /// All of them learn of a quarantine at the same moment, and a trial may crash an endpoint.
    pub fn defer(&self, now_ms: u64, gateways: usize) {
        let gateways = u64::try_from(gateways).unwrap_or(u64::MAX);
        let longest_ms = 2 * TRIAL_INTERVAL_MS.saturating_mul(gateways);
        let defer_ms = rand::rng().random_range(0..longest_ms.max(1));
        self.next_ms.set(now_ms + defer_ms);
    }

    /// Returns whether a trial is due.
    #[must_use]
    pub fn is_due(&self, now_ms: u64) -> bool {
        now_ms >= self.next_ms.get()
    }
}
