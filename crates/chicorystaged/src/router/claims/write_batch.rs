use std::collections::HashSet;
use std::sync::Arc;

use chicorystage_api::peer::ClaimRow;
use chicorystage_borders::table::{Check, CommitOutcome, Table, Transaction, Write};
use tokio::sync::oneshot;

use crate::router::claims::{ClaimWrite, WriteResult};

/// Writes that are committed in one transaction; at most one per row.
pub(super) struct WriteBatch {
    entries: Vec<BatchEntry>,
}

struct BatchEntry {
    write: ClaimWrite,
    reply: Option<oneshot::Sender<WriteResult>>,
}

impl WriteBatch {
    pub(super) fn new() -> Self {
        Self {
            entries: Vec::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Adds a write, or returns it if the batch already writes the same row.
    pub(super) fn add(
        &mut self,
        write: ClaimWrite,
        reply: Option<oneshot::Sender<WriteResult>>,
    ) -> Option<(ClaimWrite, Option<oneshot::Sender<WriteResult>>)> {
        if self
            .entries
            .iter()
            .any(|entry| entry.write.row_key == write.row_key)
        {
            return Some((write, reply));
        }
        self.entries.push(BatchEntry { write, reply });
        None
    }

    /// Commits all writes and reports the result of each to its sender.
    ///
    /// After a conflict, the conflicting writes are reported as such and the
    /// others are committed again, so that one lost race does not fail the
    /// whole batch.
    pub(super) async fn commit(mut self, table: &dyn Table) {
        while !self.entries.is_empty() {
            match table.commit(self.transaction()).await {
                Ok(CommitOutcome::Applied { version }) => {
                    return self.answer_all(&WriteResult::Written {
                        row_version: version,
                    });
                }
                Ok(CommitOutcome::Conflict { keys }) => self.answer_conflicts(&keys),
                Err(error) if error.had_no_effect() => {
                    return self.answer_all(&WriteResult::NotWritten);
                }
                Err(_unknown) => return self.answer_by_reading_back(table).await,
            }
        }
    }

    fn transaction(&self) -> Transaction {
        let checks = self.entries.iter().map(|entry| Check {
            key: Arc::clone(&entry.write.row_key),
            version: entry.write.expected_version,
        });
        let writes = self.entries.iter().map(|entry| Write {
            key: Arc::clone(&entry.write.row_key),
            value: Some(encode(&entry.write.row)),
        });
        Transaction {
            id: format!("claims-{:032x}", rand::random::<u128>()).into(),
            checks: checks.collect(),
            writes: writes.collect(),
        }
    }

    fn answer_all(self, result: &WriteResult) {
        for entry in self.entries {
            entry.answer(result.clone());
        }
    }

    /// Reports the writes of these rows as conflicts and removes them from the batch.
    ///
    /// Without keys, all writes count as conflicts.
    fn answer_conflicts(&mut self, keys: &[Arc<str>]) {
        let keys: HashSet<&Arc<str>> = keys.iter().collect();
        let (conflicting, remaining) = self
            .entries
            .drain(..)
            .partition(|entry| keys.contains(&entry.write.row_key) || keys.is_empty());
        self.entries = remaining;
        for entry in conflicting {
            let entry: BatchEntry = entry;
            entry.answer(WriteResult::Conflict);
        }
    }

    /// Reads the rows back after a commit whose answer was lost.
    ///
    /// If a row still has its old version the write's result remains unknown,
    /// because the commit may still be in progress.
    async fn answer_by_reading_back(self, table: &dyn Table) {
        for entry in self.entries {
            let read = table.get(&entry.write.row_key).await;
            let written = encode(&entry.write.row);
            let result = match read {
                Ok(Some(row)) if row.value == written => WriteResult::Written {
                    row_version: row.version,
                },
                Ok(Some(row)) if Some(row.version) != entry.write.expected_version => {
                    WriteResult::Conflict
                }
                Ok(_) | Err(_) => WriteResult::Unknown,
            };
            entry.answer(result);
        }
    }
}

impl BatchEntry {
    fn answer(self, result: WriteResult) {
        let Some(reply) = self.reply else {
            return;
        };
        // The call may have been abandoned; the result is then unused.
        let _sent = reply.send(result);
    }
}

fn encode(row: &ClaimRow) -> Arc<str> {
    serde_json::to_string(row)
        .expect("message types serialise to JSON")
        .into()
}
