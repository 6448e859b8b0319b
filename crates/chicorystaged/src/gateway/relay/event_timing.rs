//! Timing of the events of one answer.

/// Time to the first event and the longest pause between two events of an answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventTiming {
    /// Time from the request's arrival to its first event, in milliseconds; `None` before that.
    pub first_ms: Option<u64>,
    /// Longest pause between two consecutive events, in milliseconds.
    pub pause_max_ms: u64,
    /// End of the longest pause, in milliseconds since the request's arrival.
    pub pause_max_at_ms: u64,
    /// Time of the last event on the gateway's clock, in milliseconds.
    last_ms: u64,
}

impl EventTiming {
    /// Records an event; for the first one, returns the time since the request's arrival.
    pub fn record(&mut self, now_ms: u64, arrived_ms: u64) -> Option<u64> {
        let is_first = self.first_ms.is_none();
        let since_arrival_ms = now_ms - arrived_ms;
        let pause_ms = now_ms - self.last_ms;
        self.last_ms = now_ms;
        if is_first {
            self.first_ms = Some(since_arrival_ms);
            return self.first_ms;
        }
        if pause_ms > self.pause_max_ms {
            self.pause_max_ms = pause_ms;
            self.pause_max_at_ms = since_arrival_ms;
        }
        None
    }
}
