use std::collections::VecDeque;

use chicorystage_api::inventory::{ChangeRecord, ItemKey};

/// Newest records of the change log, without gaps.
///
/// Memory is bounded by the number of records kept. A look-up by key walks the
/// records from the newest.
#[derive(Clone, Debug)]
pub struct ChangeLog {
    records: VecDeque<ChangeRecord>,
    records_max: usize,
}

impl ChangeLog {
    /// Creates an empty log that keeps up to `records_max` records.
    #[must_use]
    pub fn new(records_max: usize) -> Self {
        Self {
            records: VecDeque::new(),
            records_max,
        }
    }

    /// Adds the next record; one that leaves a gap replaces all before it.
    pub fn push(&mut self, record: ChangeRecord) {
        let newest = self.records.back().map(|newest| newest.revision);
        if newest.is_some_and(|newest| newest + 1 != record.revision) {
            self.records.clear();
        }
        if self.records.len() >= self.records_max {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// Forgets all records, as after a whole read.
    pub fn clear(&mut self) {
        self.records.clear();
    }

    /// Returns the records after a revision, or none where some are missing.
    #[must_use]
    pub fn since(&self, revision: u64) -> Option<Vec<ChangeRecord>> {
        let oldest = self.records.front()?.revision;
        if revision + 1 < oldest {
            return None;
        }
        let newer = self
            .records
            .iter()
            .filter(|record| record.revision > revision);
        Some(newer.cloned().collect())
    }

    /// Returns the newest record that wrote or deleted an item.
    #[must_use]
    pub fn newest_of(&self, key: &ItemKey) -> Option<&ChangeRecord> {
        let mut newest_first = self.records.iter().rev();
        newest_first.find(|record| record.items.iter().any(|entry| entry.key == *key))
    }
}
