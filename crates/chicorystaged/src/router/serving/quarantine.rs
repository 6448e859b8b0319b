//! Telling other processes of suspects and quarantined digests.

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

/// Time between two reads of the quarantine rows, in milliseconds.
const READ_INTERVAL_MS: u64 = 5_000;
/// Rows a scan page.
const SCAN_PAGE_ROWS: usize = 1_000;
/// Tries to write a row before it is left to the pushes.
const WRITE_TRIES: u32 = 8;
/// Pause after a failed write, in milliseconds; doubled with each further one.
const WRITE_PAUSE_MS: u64 = 200;

/// Who is told of an entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Audience {
    /// Addresses of other routers.
    pub(crate) routers: Vec<SocketAddr>,
    /// Addresses of agents that may be sent the digest.
    pub(crate) agents: Vec<SocketAddr>,
}

/// Tells the audience of an entry and keeps a quarantine in the table.
///
/// A suspect is not kept: forgetting it costs one more endpoint at most.
pub(crate) fn announce(borders: &RouterBorders, audience: Audience, entry: &QuarantineEntry) {
    let lifted = !entry.active && entry.crashes == 0;
    if entry.active || lifted {
        let write = write_row(Arc::clone(&borders.table), entry.clone());
        tokio::spawn(write);
    }
    for address in audience.routers {
        let (routers, entries) = (Arc::clone(&borders.routers), vec![entry.clone()]);
        // A router that misses it reads the row, or learns by its own crash.
        tokio::spawn(async move { routers.push_quarantine(address, entries).await.ok() });
    }
    for address in audience.agents {
        let (agents, entries) = (Arc::clone(&borders.agents), vec![entry.clone()]);
        // An agent that misses it is protected by the routers.
        tokio::spawn(async move { agents.push_quarantine(address, entries).await.ok() });
    }
}

/// Reads the rows at the start and from time to time, until the loop ends.
pub(crate) async fn read_rows(table: Arc<dyn Table>, handle: RouterHandle, clock: Clock) {
    let mut ticks = clock.subscribe(READ_INTERVAL_MS);
    loop {
        let entries = scan(&*table).await;
        if !entries.is_empty() {
            let learnt = ServingEvent::QuarantineLearnt(entries);
            if !handle.tell(RouterEvent::Serving(learnt)).await {
                return;
            }
        }
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

async fn scan(table: &dyn Table) -> Vec<QuarantineEntry> {
    let mut entries = Vec::new();
    let mut after = None;
    loop {
        let page = table
            .scan(QUARANTINE_ROW_PREFIX, after.as_deref(), SCAN_PAGE_ROWS)
            .await;
        // What was not read comes with the next reading.
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

/// Writes the row of an entry unless it already holds a newer decision.
async fn write_row(table: Arc<dyn Table>, entry: QuarantineEntry) {
    let key: Arc<str> = format!("{QUARANTINE_ROW_PREFIX}{}", entry.digest).into();
    for tries in 0..WRITE_TRIES {
        if try_write(&*table, &key, &entry).await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(WRITE_PAUSE_MS << tries)).await;
    }
    log::warn!(event = "quarantine_not_kept", digest = entry.digest.as_str(); "quarantine row could not be written");
}

/// Returns whether the row holds this decision or a newer one.
async fn try_write(table: &dyn Table, key: &Arc<str>, entry: &QuarantineEntry) -> bool {
    let Ok(row) = table.get(key).await else {
        return false;
    };
    let mut entry = entry.clone();
    if let Some(kept) = row.as_ref().and_then(parse)
        && kept.decided_unix_ms >= entry.decided_unix_ms
    {
        if entry.active || !kept.active {
            return true;
        }
        // The operator's router had not read this quarantine; lifting it comes after it.
        entry.decided_unix_ms = kept.decided_unix_ms + 1;
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
