use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use chicorystage_borders::table::{CommitOutcome, Row, ScanPage, Table, Transaction};
use chicorystage_borders::{BorderError, BorderErrorKind, BoxFuture};
use serde::{Deserialize, Serialize};

/// Fault of a [`FakeTable`], which applies until another one is set or its count is used up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum TableFault {
    /// Every call gets its response.
    #[default]
    None,
    /// Every call fails as not delivered.
    Down,
    /// Every call is delayed.
    Slow {
        /// Delay of each call, in milliseconds.
        delay_ms: u64,
    },
    /// All commits take effect, but their responses are lost.
    Unanswered,
    /// The next commits take effect, but their responses are lost.
    UnansweredNext {
        /// Number of commits.
        commits: u32,
    },
    /// Commits that write a key with a prefix take effect, but their responses are lost.
    UnansweredPrefix {
        /// Prefix of the key.
        prefix: Arc<str>,
    },
    /// The next commits have no effect; clients get the same error as for a lost response.
    LostNext {
        /// Number of commits.
        commits: u32,
    },
}

/// Counters of the calls that were delivered to a [`FakeTable`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableCalls {
    /// Number of reads, each of one row or one page.
    pub reads: u64,
    /// Number of commits, including those that ended in a conflict.
    pub commits: u64,
    /// Number of rows that commits wrote or deleted.
    pub rows_written: u64,
    /// Total size of keys and values that reads returned and commits wrote, in bytes.
    pub moved_bytes: u64,
}

/// Effect of the current fault on one commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommitDelivery {
    Answered,
    Unanswered,
    Lost,
}

/// An in-memory fake of the platform's transactional table.
#[derive(Debug, Default)]
pub struct FakeTable {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    rows: BTreeMap<Arc<str>, Row>,
    fault: TableFault,
    calls: TableCalls,
}

impl FakeTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the fault of all later calls, in place of the previous one.
    pub fn set_fault(&self, fault: TableFault) {
        self.lock().fault = fault;
    }

    /// Returns the counters of delivered calls.
    #[must_use]
    pub fn calls(&self) -> TableCalls {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Applies faults that prevent or delay the delivery of a call.
    async fn apply_call_fault(&self) -> Result<(), BorderError> {
        let fault = self.lock().fault.clone();
        match fault {
            TableFault::Down => Err(BorderError::new(
                BorderErrorKind::NotDelivered,
                "table is down",
            )),
            TableFault::Slow { delay_ms } => {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                Ok(())
            }
            _ => Ok(()),
        }
    }
}

impl Table for FakeTable {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, BorderError>> {
        Box::pin(async move {
            self.apply_call_fault().await?;
            let mut state = self.lock();
            let row = state.rows.get(key).cloned();
            state.calls.reads += 1;
            state.calls.moved_bytes += row.as_ref().map_or(0, moved_bytes);
            Ok(row)
        })
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> BoxFuture<'a, Result<ScanPage, BorderError>> {
        Box::pin(async move {
            self.apply_call_fault().await?;
            let mut state = self.lock();
            state.calls.reads += 1;
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
            state.calls.moved_bytes += rows.iter().map(moved_bytes).sum::<u64>();
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
            self.apply_call_fault().await?;
            let mut state = self.lock();
            let delivery = state.delivery_of(&transaction);
            if delivery == CommitDelivery::Lost {
                return Err(BorderError::new(BorderErrorKind::Unknown, "no answer"));
            }
            let outcome = state.apply(transaction);
            if delivery == CommitDelivery::Unanswered {
                return Err(BorderError::new(BorderErrorKind::Unknown, "no answer"));
            }
            Ok(outcome)
        })
    }
}

impl State {
    fn delivery_of(&mut self, transaction: &Transaction) -> CommitDelivery {
        match &mut self.fault {
            TableFault::Unanswered => CommitDelivery::Unanswered,
            TableFault::UnansweredNext { commits } if *commits > 0 => {
                *commits -= 1;
                CommitDelivery::Unanswered
            }
            TableFault::LostNext { commits } if *commits > 0 => {
                *commits -= 1;
                CommitDelivery::Lost
            }
            TableFault::UnansweredPrefix { prefix } => {
                let mut keys = transaction.writes.iter().map(|write| &write.key);
                if keys.any(|key| key.starts_with(&**prefix)) {
                    return CommitDelivery::Unanswered;
                }
                CommitDelivery::Answered
            }
            _ => CommitDelivery::Answered,
        }
    }

    /// Executes a transaction if the versions of all checked rows match.
    fn apply(&mut self, transaction: Transaction) -> CommitOutcome {
        self.calls.commits += 1;
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
            self.calls.rows_written += 1;
            let value_bytes = write.value.as_ref().map_or(0, |value| value.len());
            self.calls.moved_bytes += (write.key.len() + value_bytes) as u64;
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

fn moved_bytes(row: &Row) -> u64 {
    (row.key.len() + row.value.len()) as u64
}
