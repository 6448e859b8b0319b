use std::collections::HashMap;

use chicorystage_api::name::ModelName;

/// Delay after a failed read before the next one of the same model, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// Tracks the reads of placement rows that router grants cause, at most one at a time per model.
#[derive(Debug, Default)]
pub(crate) struct SlotRowReads {
    by_model: HashMap<ModelName, SlotRowRead>,
}

#[derive(Debug, Default)]
struct SlotRowRead {
    in_flight: bool,
    /// Row version of the newest grant that a successful read has covered.
    covered_version: u64,
    /// Clock reading of the last read's failure; `None` if it succeeded.
    failed_ms: Option<u64>,
}

impl SlotRowReads {
    /// Returns whether no successful read has covered a grant yet.
    pub(crate) fn is_uncovered(&self, model: &ModelName, granted_version: u64) -> bool {
        self.by_model
            .get(model)
            .is_none_or(|read| granted_version > read.covered_version)
    }

    /// Begins a read; returns false if one is in flight or failed less than [`RETRY_MS`] ago.
    pub(crate) fn begin(&mut self, model: &ModelName, now_ms: u64) -> bool {
        let read = self.by_model.entry(model.clone()).or_default();
        let failed_just_now = read
            .failed_ms
            .is_some_and(|failed_ms| now_ms.saturating_sub(failed_ms) < RETRY_MS);
        if read.in_flight || failed_just_now {
            return false;
        }
        read.in_flight = true;
        true
    }

    /// Ends a read; a failed read covers no grant.
    pub(crate) fn end(
        &mut self,
        model: &ModelName,
        granted_version: u64,
        is_read: bool,
        now_ms: u64,
    ) {
        let read = self.by_model.entry(model.clone()).or_default();
        read.in_flight = false;
        read.failed_ms = (!is_read).then_some(now_ms);
        if is_read {
            read.covered_version = read.covered_version.max(granted_version);
        }
    }

    /// Returns whether the last read of a model failed less than [`RETRY_MS`] ago.
    pub(crate) fn has_failed_recently(&self, model: &ModelName, now_ms: u64) -> bool {
        let read = self.by_model.get(model);
        read.is_some_and(|read| {
            !read.in_flight
                && read
                    .failed_ms
                    .is_some_and(|failed_ms| now_ms.saturating_sub(failed_ms) < RETRY_MS)
        })
    }
}
