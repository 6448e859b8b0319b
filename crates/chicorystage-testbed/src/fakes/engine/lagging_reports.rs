use std::collections::VecDeque;
use std::time::Duration;

use chicorystage_borders::engine::{CacheEvent, CompletionStart, LoadReport};
use chicorystage_core::token;
use tokio::time::Instant;

use crate::fakes::FakeEngineConfig;
use crate::fakes::engine::batch::Batch;

/// Cache events that are kept.
const EVENTS_KEPT: usize = 1_024;
/// Load reports that are kept.
const REPORTS_KEPT: usize = 256;
/// Length of the prompt prefix that a cache event names, in bytes.
const PREFIX_BYTES: usize = 64;

/// What an engine tells late: its load and the contents of its cache.
#[derive(Debug, Default)]
pub(super) struct LaggingReports {
    events: VecDeque<(Instant, CacheEvent)>,
    event_sequence: u64,
    loads: VecDeque<(Instant, LoadReport)>,
}

impl LaggingReports {
    /// Records the load as it is now.
    pub(super) fn note_load(&mut self, batch: &Batch) {
        let report = LoadReport {
            running: batch.running(),
            waiting: batch.waiting(),
            age_ms: 0,
        };
        self.loads.push_back((Instant::now(), report));
        if self.loads.len() > REPORTS_KEPT {
            self.loads.pop_front();
        }
    }

    /// Returns the load as it was `lag_ms` ago.
    pub(super) fn lagging_load(&self, lag_ms: u64) -> LoadReport {
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

    /// Publishes that a prompt's prefix is cached; some events are lost.
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
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }

    pub(super) fn lagging_events(&self, after_sequence: u64, lag_ms: u64) -> Vec<CacheEvent> {
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
