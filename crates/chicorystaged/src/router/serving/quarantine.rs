//! Shares suspect and quarantined digests with other routers and agents.
//!
//! Work that crashes endpoints must not be run again by another router. Each
//! decision is pushed to the other processes at once; quarantines are also
//! stored in the table, which all routers read periodically, because a push
//! may be lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chicorystage_api::peer::{QUARANTINE_ROW_PREFIX, QuarantineEntry};
use chicorystage_borders::table::{Check, CommitOutcome, Row, Table, Transaction, Write};

use crate::router::borders::RouterBorders;
use crate::router::event::RouterEvent;
use crate::router::handle::RouterHandle;
use crate::router::serving::event::ServingEvent;
use crate::timer::Clock;

/// Interval between two scans of the quarantine rows, in milliseconds.
const READ_INTERVAL_MS: u64 = 5_000;
/// Maximum number of rows in one page of a scan.
const SCAN_PAGE_ROWS: usize = 1_000;
/// Maximum number of tries to write a row; after that only the pushes carry the entry.
const WRITE_TRIES: u32 = 8;
/// Pause after the first failed write, in milliseconds; doubled after each further one.
const WRITE_PAUSE_MS: u64 = 200;

/// Processes that an entry is pushed to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Recipients {
    /// Addresses of the other routers.
    pub(crate) routers: Vec<SocketAddr>,
    /// Addresses of the agents to which the work may be dispatched.
    pub(crate) agents: Vec<SocketAddr>,
}

/// Pushes an entry to the recipients and stores quarantines and lifts in the table.
///
/// A suspect is not stored: losing it costs at most one more endpoint crash.
pub(crate) fn publish(borders: &RouterBorders, recipients: Recipients, entry: &QuarantineEntry) {
    let lifted = !entry.active && entry.crashes == 0;
    if entry.active || lifted {
        let write = write_row(Arc::clone(&borders.table), entry.clone());
        tokio::spawn(write);
    }
    for address in recipients.routers {
        let (routers, entries) = (Arc::clone(&borders.routers), vec![entry.clone()]);
        // A router that misses the push reads the row, or observes a crash itself.
        tokio::spawn(async move { routers.push_quarantine(address, entries).await.ok() });
    }
    for address in recipients.agents {
        let (agents, entries) = (Arc::clone(&borders.agents), vec![entry.clone()]);
        // If an agent misses the push, the routers still refuse the work before its dispatch.
        tokio::spawn(async move { agents.push_quarantine(address, entries).await.ok() });
    }
}

/// Scans the rows at the start and periodically, and sends them to the main loop until it ends.
pub(crate) async fn watch_rows(table: Arc<dyn Table>, handle: RouterHandle, clock: Clock) {
    let mut ticks = clock.subscribe(READ_INTERVAL_MS);
    loop {
        let entries = scan(&*table).await;
        if !entries.is_empty() {
            let received = ServingEvent::QuarantineReceived(entries);
            if !handle.send(RouterEvent::Serving(received)).await {
                return;
            }
        }
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

/// Returns the entries of all quarantine rows, or of those read before a failure.
async fn scan(table: &dyn Table) -> Vec<QuarantineEntry> {
    let mut entries = Vec::new();
    let mut after = None;
    loop {
        let page = table
            .scan(QUARANTINE_ROW_PREFIX, after.as_deref(), SCAN_PAGE_ROWS)
            .await;
        // The remaining rows are read by the next scan.
        let Ok(page) = page else { return entries };
        entries.extend(page.rows.iter().filter_map(parse));
        after = page.next_after;
        if after.is_none() {
            return entries;
        }
    }
}

fn parse(row: &Row) -> Option<QuarantineEntry> {
    serde_json::from_str(&row.value).ok()
}

/// Writes the row of an entry unless the row already holds a newer decision.
async fn write_row(table: Arc<dyn Table>, entry: QuarantineEntry) {
    let key: Arc<str> = format!("{QUARANTINE_ROW_PREFIX}{}", entry.digest).into();
    for tries in 0..WRITE_TRIES {
        if try_write(&*table, &key, &entry).await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(WRITE_PAUSE_MS << tries)).await;
    }
    log::warn!(event = "quarantine_not_kept", digest = entry.digest.as_str(); "could not write the quarantine row to the table; only pushes carry the entry");
}

/// Tries to write once; returns whether the row now holds this decision or a newer one.
async fn try_write(table: &dyn Table, key: &Arc<str>, entry: &QuarantineEntry) -> bool {
    let Ok(row) = table.get(key).await else {
        return false;
    };
    let mut entry = entry.clone();
    if let Some(stored) = row.as_ref().and_then(parse)
        && stored.decided_unix_ms >= entry.decided_unix_ms
    {
        if entry.active || !stored.active {
            return true;
        }
        // A router may lift a quarantine whose row it has not read, with an older timestamp.
        // The operator's lift must win, so the lift is dated after the quarantine.
        entry.decided_unix_ms = stored.decided_unix_ms + 1;
    }
    let value = serde_json::to_string(&entry).expect("message types serialise to JSON");
    let transaction = Transaction {
        id: format!("quarantine-{:016x}", rand::random::<u64>()).into(),
        checks: vec![Check {
            key: Arc::clone(key),
            version: row.map(|row| row.version),
        }],
        writes: vec![Write {
            key: Arc::clone(key),
            value: Some(value.into()),
        }],
    };
    matches!(
        table.commit(transaction).await,
        Ok(CommitOutcome::Applied { .. })
    )
}
