use std::collections::HashMap;

use chicorystage_api::name::ModelName;

/// Time after a failed read before the next one, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// Reads of placement rows that grants asked for, one at a time for each model.
#[derive(Debug, Default)]
pub(crate) struct SlotReads {
    by_model: HashMap<ModelName, SlotRead>,
}

#[derive(Debug, Default)]
struct SlotRead {
    in_flight: bool,
    /// Newest grant that a read has answered.
    answered_version: u64,
    failed_ms: Option<u64>,
}

impl SlotReads {
    /// Returns whether a grant has not been answered by a read yet.
    pub(crate) fn is_open(&self, model: &ModelName, granted_version: u64) -> bool {
        self.by_model
            .get(model)
            .is_none_or(|read| granted_version > read.answered_version)
    }

    /// Begins a read; returns false where one is in flight or failed just now.
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

    /// Ends a read; one that failed answers no grant.
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
            read.answered_version = read.answered_version.max(granted_version);
        }
    }

    /// Returns whether the last read of a model failed just now.
    pub(crate) fn has_failed(&self, model: &ModelName, now_ms: u64) -> bool {
        let read = self.by_model.get(model);
        read.is_some_and(|read| {
            !read.in_flight
                && read
                    .failed_ms
                    .is_some_and(|failed_ms| now_ms.saturating_sub(failed_ms) < RETRY_MS)
        })
    }
}
