use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use chicorystage_platform::table::{CommitOutcome, Row, ScanPage, Table, Transaction};
use chicorystage_platform::{BorderError, BorderErrorKind, BoxFuture};
use serde::{Deserialize, Serialize};

/// Fault of a [`FakeTable`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum TableFault {
    /// Every call is answered.
    #[default]
    None,
    /// No call is delivered.
    Down,
    /// Every call takes this long.
    Slow {
        /// Delay of each call, in milliseconds.
        delay_ms: u64,
    },
    /// Commits take effect and are never answered.
    Unanswered,
}

/// The platform's table in memory.
#[derive(Debug, Default)]
pub struct FakeTable {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    rows: BTreeMap<Arc<str>, Row>,
    fault: TableFault,
    reads: u64,
    commits: u64,
}

impl FakeTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the fault of all further calls.
    pub fn set_fault(&self, fault: TableFault) {
        self.lock().fault = fault;
    }

    /// Returns how many reads and commits were delivered.
    #[must_use]
    pub fn calls(&self) -> (u64, u64) {
        let state = self.lock();
        (state.reads, state.commits)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    async fn delivered(&self) -> Result<TableFault, BorderError> {
        let fault = self.lock().fault;
        match fault {
            TableFault::Down => Err(BorderError::new(
                BorderErrorKind::NotDelivered,
                "table is down",
            )),
            TableFault::Slow { delay_ms } => {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                Ok(fault)
            }
            TableFault::None | TableFault::Unanswered => Ok(fault),
        }
    }
}

impl Table for FakeTable {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, BorderError>> {
        Box::pin(async move {
            self.delivered().await?;
            let mut state = self.lock();
            state.reads += 1;
            Ok(state.rows.get(key).cloned())
        })
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> BoxFuture<'a, Result<ScanPage, BorderError>> {
        Box::pin(async move {
            self.delivered().await?;
            let mut state = self.lock();
            state.reads += 1;
            let start = match after {
                Some(after) => Bound::Excluded(after),
                None => Bound::Included(prefix),
            };
            let matching = state.rows.range::<str, _>((start, Bound::Unbounded));
            let mut matching = matching
                .take_while(|(key, _)| key.starts_with(prefix))
                .map(|(_, row)| row.clone());
            let rows: Vec<Row> = matching.by_ref().take(limit).collect();
            let more = matching.next().is_some();
            let next_after = rows.last().filter(|_| more).map(|row| Arc::clone(&row.key));
            Ok(ScanPage {
                table_version: state.version,
                rows,
                next_after,
            })
        })
    }

    fn commit(
        &self,
        transaction: Transaction,
    ) -> BoxFuture<'_, Result<CommitOutcome, BorderError>> {
        Box::pin(async move {
            let fault = self.delivered().await?;
            let outcome = self.lock().apply(transaction);
            if fault == TableFault::Unanswered {
                return Err(BorderError::new(BorderErrorKind::Unknown, "no answer"));
            }
            Ok(outcome)
        })
    }
}

impl State {
    fn apply(&mut self, transaction: Transaction) -> CommitOutcome {
        self.commits += 1;
        let failed = transaction.checks.iter().filter(|check| {
            let version = self.rows.get(&check.key).map(|row| row.version);
            version != check.version
        });
        let keys: Vec<Arc<str>> = failed.map(|check| Arc::clone(&check.key)).collect();
        if !keys.is_empty() {
            return CommitOutcome::Conflict { keys };
        }
        self.version += 1;
        for write in transaction.writes {
            let Some(value) = write.value else {
                self.rows.remove(&write.key);
                continue;
            };
            let row = Row {
                key: Arc::clone(&write.key),
                version: self.version,
                value,
            };
            self.rows.insert(write.key, row);
        }
        CommitOutcome::Applied {
            version: self.version,
        }
    }
}
