use std::collections::VecDeque;
use std::sync::Arc;

use chicorystage_api::peer::ClaimRow;
use chicorystage_borders::table::Table;
use tokio::sync::{mpsc, oneshot};

use crate::router::claims::write_batch::WriteBatch;

/// Writes that wait for a transaction at once.
const WRITES_WAITING_MAX: usize = 4_096;
/// Rows that one transaction writes.
const BATCH_ROWS_MAX: usize = 256;

/// One row that is to be written.
#[derive(Clone, Debug)]
pub struct ClaimWrite {
    /// Key of the row.
    pub row_key: Arc<str>,
    /// Table version that the row must have; none where it must be absent.
    pub expected_version: Option<u64>,
    /// New content.
    pub row: ClaimRow,
}

/// What came of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The row is in force at this table version.
    Written {
        /// Version of the row.
        row_version: u64,
    },
    /// The row had another version; nothing was written.
    Conflict,
    /// The table was not reached; nothing was written.
    NotWritten,
    /// The write may have taken effect or may yet do so.
    Unknown,
}

/// Commits claims and outcomes in shared transactions.
///
/// While one transaction is under way further writes gather for the next, so
/// the number of transactions is bounded by the table's latency and not by the
/// number of calls. Dropping every writer ends its task.
#[derive(Clone, Debug)]
pub struct ClaimWriter {
    sender: mpsc::Sender<Job>,
}

type Job = (ClaimWrite, Option<oneshot::Sender<WriteResult>>);

impl ClaimWriter {
    /// Starts the writer's task.
    #[must_use]
    pub fn start(table: Arc<dyn Table>) -> Self {
        let (sender, jobs) = mpsc::channel(WRITES_WAITING_MAX);
        tokio::spawn(run(table, jobs));
        Self { sender }
    }

    /// Writes a row and waits for the result.
    pub async fn write(&self, write: ClaimWrite) -> WriteResult {
        let (reply, answer) = oneshot::channel();
        if self.sender.send((write, Some(reply))).await.is_err() {
            return WriteResult::NotWritten;
        }
        answer.await.unwrap_or(WriteResult::Unknown)
    }

    /// Writes a row without waiting.
    pub async fn write_later(&self, write: ClaimWrite) {
        // A stopped writer loses the outcome, which the agent still knows.
        let _sent = self.sender.send((write, None)).await;
    }
}

async fn run(table: Arc<dyn Table>, mut jobs: mpsc::Receiver<Job>) {
    let mut postponed: VecDeque<Job> = VecDeque::new();
    loop {
        if postponed.is_empty() {
            let Some(job) = jobs.recv().await else { return };
            postponed.push_back(job);
        }
        while let Ok(job) = jobs.try_recv() {
            postponed.push_back(job);
        }
        let mut batch = WriteBatch::new();
        let mut same_row = VecDeque::new();
        while batch.len() < BATCH_ROWS_MAX {
            let Some((write, reply)) = postponed.pop_front() else {
                break;
            };
            same_row.extend(batch.add(write, reply));
        }
        same_row.append(&mut postponed);
        postponed = same_row;
        batch.commit(&*table).await;
    }
}
