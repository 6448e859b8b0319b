use std::collections::VecDeque;

use chicorystage_api::inventory::{ChangeRecord, ItemKey};

/// The newest records of the change log, with consecutive revisions.
///
/// Memory is bounded by the number of records kept. A look-up by key walks the
/// records from the newest.
#[derive(Clone, Debug)]
pub struct ChangeLog {
    records: VecDeque<ChangeRecord>,
    records_max: usize,
}

impl ChangeLog {
    /// Creates an empty log that keeps the newest `records_max` records.
    #[must_use]
    pub fn new(records_max: usize) -> Self {
        Self {
            records: VecDeque::new(),
            records_max,
        }
    }

    /// Appends a record; a record that is not the next one replaces all earlier ones.
    ///
    /// Drops the oldest record if the log is full.
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

    /// Removes all records, as after a snapshot replaced the state.
    pub fn clear(&mut self) {
        self.records.clear();
    }

    /// Returns the records after a revision, oldest first.
    ///
    /// Returns `None` if the log is empty or no longer has all of them.
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

    /// Returns the newest kept record that wrote or deleted an item.
    #[must_use]
    pub fn newest_record_of(&self, key: &ItemKey) -> Option<&ChangeRecord> {
        let mut newest_first = self.records.iter().rev();
        newest_first.find(|record| record.items.iter().any(|entry| entry.key == *key))
    }
}
