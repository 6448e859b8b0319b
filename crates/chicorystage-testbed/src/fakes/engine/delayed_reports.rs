use std::collections::VecDeque;
use std::time::Duration;

use chicorystage_borders::engine::{CacheEvent, CompletionStart, LoadReport};
use chicorystage_core::token;
use tokio::time::Instant;

use crate::fakes::FakeEngineConfig;
use crate::fakes::engine::batch::Batch;

/// Number of retained cache events; older ones are dropped.
const EVENTS_MAX: usize = 1_024;
/// Number of retained load reports; older ones are dropped.
const REPORTS_MAX: usize = 256;
/// Length of the prompt prefix whose digest a cache event carries, in bytes.
const PREFIX_BYTES: usize = 64;

/// History of load reports and cache events, which the engine publishes with a lag.
#[derive(Debug, Default)]
pub(super) struct DelayedReports {
    events: VecDeque<(Instant, CacheEvent)>,
    event_sequence: u64,
    loads: VecDeque<(Instant, LoadReport)>,
}

impl DelayedReports {
    /// Records the current load.
    pub(super) fn record_load(&mut self, batch: &Batch) {
        let report = LoadReport {
            running: batch.running(),
            waiting: batch.waiting(),
            age_ms: 0,
        };
        self.loads.push_back((Instant::now(), report));
        if self.loads.len() > REPORTS_MAX {
            self.loads.pop_front();
        }
    }

    /// Returns the load as of `lag_ms` ago; no load if nothing was recorded by then.
    pub(super) fn load_with_lag(&self, lag_ms: u64) -> LoadReport {
        let now = Instant::now();
        let lag = Duration::from_millis(lag_ms);
        let old = self.loads.iter().rev();
        let mut old = old.filter(|(at, _)| now.duration_since(*at) >= lag);
        let report = old.next().map(|(_, report)| *report).unwrap_or_default();
        LoadReport {
            age_ms: lag_ms,
            ..report
        }
    }

    /// Records that a prompt's prefix is cached; loses every n-th event if so configured.
    pub(super) fn publish(&mut self, config: &FakeEngineConfig, start: &CompletionStart) {
        self.event_sequence += 1;
        let lost_every = config.events_lost_every;
        if lost_every > 0 && self.event_sequence.is_multiple_of(lost_every) {
            return;
        }
        let prompt = start.prompt.as_bytes();
        let prefix = &prompt[..prompt.len().min(PREFIX_BYTES)];
        let event = CacheEvent {
            sequence: self.event_sequence,
            model: start.model.clone(),
            prefix_digest: token::sha256(prefix).as_str().into(),
            cached: true,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
        }
    }

    /// Returns the events after a sequence number that are at least `lag_ms` old.
    pub(super) fn events_with_lag(&self, after_sequence: u64, lag_ms: u64) -> Vec<CacheEvent> {
        let now = Instant::now();
        let lag = Duration::from_millis(lag_ms);
        let old = self
            .events
            .iter()
            .filter(|(at, _)| now.duration_since(*at) >= lag);
        old.map(|(_, event)| event.clone())
            .filter(|event| event.sequence > after_sequence)
            .collect()
    }
}
