use std::collections::VecDeque;
use std::sync::Arc;

use chicorystage_api::peer::ClaimRow;
use chicorystage_borders::table::Table;
use tokio::sync::{mpsc, oneshot};

use crate::router::claims::write_batch::WriteBatch;

/// Capacity of the queue of writes; further writers wait until an entry is free.
const QUEUED_WRITES_MAX: usize = 4_096;
/// Maximum number of rows in one transaction.
const BATCH_ROWS_MAX: usize = 256;

/// One conditional write of a claim row.
#[derive(Clone, Debug)]
pub struct ClaimWrite {
    /// Key of the row.
    pub row_key: Arc<str>,
    /// Table version that the row must have; `None` if it must be absent.
    pub expected_version: Option<u64>,
    /// New content.
    pub row: ClaimRow,
}

/// Result of a write of a claim row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The row was written with this table version.
    Written {
        /// Table version of the row, for the next conditional write.
        row_version: u64,
    },
    /// The row had another version; nothing was written.
    Conflict,
    /// The table or the writer was not reached; nothing was written.
    NotWritten,
    /// The write may have taken effect or may still do so.
    Unknown,
}

/// Commits the claims and outcomes of many calls in shared transactions.
///
/// While one transaction is in progress, further writes are collected for the
/// next one, so the number of transactions depends on the table's latency and
/// not on the number of calls. Clones share one task, which ends once all
/// clones are dropped.
#[derive(Clone, Debug)]
pub struct ClaimWriter {
    sender: mpsc::Sender<QueuedWrite>,
}

type QueuedWrite = (ClaimWrite, Option<oneshot::Sender<WriteResult>>);

impl ClaimWriter {
    /// Spawns the writer's task on the current runtime.
    #[must_use]
    pub fn start(table: Arc<dyn Table>) -> Self {
        let (sender, queue) = mpsc::channel(QUEUED_WRITES_MAX);
        tokio::spawn(run(table, queue));
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

    /// Queues a write without waiting for its result.
    ///
    /// Waits only while the queue is full.
    pub async fn write_in_background(&self, write: ClaimWrite) {
        // If the writer has stopped, the outcome is lost here but the agent still knows it.
        let _sent = self.sender.send((write, None)).await;
    }
}

/// Collects queued writes into batches; at most one write per row in a batch.
async fn run(table: Arc<dyn Table>, mut queue: mpsc::Receiver<QueuedWrite>) {
    let mut postponed: VecDeque<QueuedWrite> = VecDeque::new();
    loop {
        if postponed.is_empty() {
            let Some(queued) = queue.recv().await else {
                return;
            };
            postponed.push_back(queued);
        }
        while let Ok(queued) = queue.try_recv() {
            postponed.push_back(queued);
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
