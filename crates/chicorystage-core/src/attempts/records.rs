use std::collections::{HashMap, VecDeque};

use chicorystage_api::peer::AttemptRef;
use chicorystage_api::work::{EndpointLoad, Frame, Payload};

use crate::attempts::AttemptRecord;

/// Recorded frames of all running and of recently finished attempts.
#[derive(Clone, Debug)]
pub struct Attempts {
    records: HashMap<AttemptRef, AttemptRecord>,
    finished: VecDeque<AttemptRef>,
    finished_bytes: u64,
    finished_kept_ms: u64,
    finished_bytes_max: u64,
}

impl Attempts {
    /// Creates an empty store with its bounds on the age and the total bytes of finished
    /// attempts.
    #[must_use]
    pub fn new(finished_kept_ms: u64, finished_bytes_max: u64) -> Self {
        Self {
            records: HashMap::new(),
            finished: VecDeque::new(),
            finished_bytes: 0,
            finished_kept_ms,
            finished_bytes_max,
        }
    }

    /// Starts recording an attempt; returns false if the attempt is already known.
    pub fn begin(&mut self, attempt: &AttemptRef) -> bool {
        if self.records.contains_key(attempt) {
            return false;
        }
        self.records
            .insert(attempt.clone(), AttemptRecord::default());
        true
    }

    /// Returns the record of an attempt; `None` if it is unknown or has been dropped.
    #[must_use]
    pub fn get(&self, attempt: &AttemptRef) -> Option<&AttemptRecord> {
        self.records.get(attempt)
    }

    /// Records output and returns its frame; `None` if the attempt is unknown or finished.
    pub fn append(
        &mut self,
        attempt: &AttemptRef,
        payload: Payload,
        load: Option<EndpointLoad>,
        now_ms: u64,
    ) -> Option<Frame> {
        let is_final = payload.is_final();
        let record = self.records.get_mut(attempt)?;
        let frame = record
            .append(attempt.attempt, payload, load, now_ms)?
            .clone();
        if is_final {
            self.finished_bytes += record.bytes();
            self.finished.push_back(attempt.clone());
            self.forget(now_ms);
        }
        Some(frame)
    }

    /// Drops finished attempts that exceed the bounds on age or total bytes, oldest first.
    pub fn forget(&mut self, now_ms: u64) {
        while let Some(oldest) = self.finished.front() {
            let record = self.records.get(oldest);
            let finished_ms = record.and_then(AttemptRecord::finished_ms).unwrap_or(0);
            let is_old = now_ms.saturating_sub(finished_ms) > self.finished_kept_ms;
            if !is_old && self.finished_bytes <= self.finished_bytes_max {
                return;
            }
            if let Some(record) = self.records.remove(oldest) {
                self.finished_bytes -= record.bytes();
            }
            self.finished.pop_front();
        }
    }
}
