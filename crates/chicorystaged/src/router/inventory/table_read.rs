//! Reads the inventory from the platform's table and object store.

use chicorystage_api::inventory::{
    ChangeRecord, HEAD_ROW_KEY, HeadRow, ITEM_ROW_PREFIX, LOG_ROW_PREFIX, SNAPSHOT_OBJECT_KEY,
    Snapshot,
};
use chicorystage_borders::object_store::ObjectStore;
use chicorystage_borders::table::Table;
use chicorystage_borders::{BorderError, BorderErrorKind};
use chicorystage_core::inventory::{Applied, InventoryState};

use crate::router::inventory::InventoryUpdate;
use crate::router::inventory::rows::{log_key, parse};

/// Maximum number of rows of one scan page.
const SCAN_PAGE_ROWS: usize = 1_000;

/// The head row with its table version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Head {
    /// Newest revision; 0 if there is no head row.
    pub revision: u64,
    /// Table version of the row; `None` if it is absent.
    pub version: Option<u64>,
}

pub(crate) async fn read_head(table: &dyn Table) -> Result<Head, BorderError> {
    let Some(row) = table.get(HEAD_ROW_KEY).await? else {
        return Ok(Head {
            revision: 0,
            version: None,
        });
    };
    let head: HeadRow = parse(&row).ok_or_else(|| unreadable(HEAD_ROW_KEY))?;
    Ok(Head {
        revision: head.revision,
        version: Some(row.version),
    })
}

/// Reads up to `limit` records after a revision, oldest first.
pub(crate) async fn read_records(
    table: &dyn Table,
    after_revision: u64,
    limit: usize,
) -> Result<Vec<ChangeRecord>, BorderError> {
    let mut after = log_key(after_revision);
    let mut records = Vec::new();
    while records.len() < limit {
        let page_rows = SCAN_PAGE_ROWS.min(limit - records.len());
        let page = table.scan(LOG_ROW_PREFIX, Some(&after), page_rows).await?;
        for row in &page.rows {
            records.push(parse(row).ok_or_else(|| unreadable(&row.key))?);
        }
        let Some(next) = page.next_after else {
            break;
        };
        after = next.to_string();
    }
    Ok(records)
}

/// Reads the changes between the revision in force and the head.
///
/// Reads only the missing records if the log still has them. Otherwise, and in
/// a process that has no inventory yet, starts from the snapshot in the object
/// store and adds the records after it. If the snapshot is missing, or the log
/// no longer reaches back to it, scans all item rows once.
pub(crate) async fn read_update(
    table: &dyn Table,
    object_store: &dyn ObjectStore,
    in_force_revision: u64,
    head_revision: u64,
) -> Result<InventoryUpdate, BorderError> {
    if head_revision <= in_force_revision {
        return Ok(InventoryUpdate::Unchanged);
    }
    if in_force_revision > 0 {
        let records = read_records(table, in_force_revision, usize::MAX).await?;
        if records.first().map(|record| record.revision) == Some(in_force_revision + 1) {
            return Ok(InventoryUpdate::Tail(records));
        }
    }
    let stored = read_snapshot(object_store).await;
    if let Some(snapshot) = stored.filter(|snapshot| snapshot.revision > in_force_revision)
        && let Some(newest) = apply_log(table, snapshot, head_revision).await?
    {
        return Ok(InventoryUpdate::Whole(newest));
    }
    scan_items(table, head_revision)
        .await
        .map(InventoryUpdate::Whole)
}

/// Scans all items and applies the records that were committed during the scan.
///
/// A scanned row may belong to a change after `head_revision`. Each such change
/// is in the log by the end of the scan and is applied on top, so the result is
/// exactly the newest revision of that log.
async fn scan_items(table: &dyn Table, head_revision: u64) -> Result<Snapshot, BorderError> {
    let mut rows = Vec::new();
    let mut after = None;
    loop {
        let page = table
            .scan(ITEM_ROW_PREFIX, after.as_deref(), SCAN_PAGE_ROWS)
            .await?;
        for row in &page.rows {
            rows.push(parse(row).ok_or_else(|| unreadable(&row.key))?);
        }
        after = page.next_after;
        if after.is_none() {
            break;
        }
    }
    let scanned = Snapshot {
        revision: head_revision,
        rows,
    };
    let newest = read_head(table).await?.revision;
    apply_log(table, scanned, newest)
        .await?
        .ok_or_else(|| unreadable("a change log with a gap"))
}

/// Applies the records of the log to a snapshot.
///
/// Returns `None` if a record between the snapshot and the head is missing from the log.
async fn apply_log(
    table: &dyn Table,
    snapshot: Snapshot,
    head_revision: u64,
) -> Result<Option<Snapshot>, BorderError> {
    let records = read_records(table, snapshot.revision, usize::MAX).await?;
    let mut state = InventoryState::default();
    state.replace(snapshot);
    let gapless = records
        .iter()
        .all(|record| state.apply(record) != Applied::Gap);
    Ok((gapless && state.revision() >= head_revision).then(|| state.snapshot()))
}

async fn read_snapshot(object_store: &dyn ObjectStore) -> Option<Snapshot> {
    let content = object_store.get(SNAPSHOT_OBJECT_KEY).await.ok()??;
    serde_json::from_slice(&content).ok()
}

fn unreadable(what: &str) -> BorderError {
    BorderError::new(BorderErrorKind::Rejected, format!("{what} is unreadable"))
}

/// Reads the newest revision; 0 if there is none.
pub(crate) async fn read_revision(table: &dyn Table) -> Result<u64, BorderError> {
    Ok(read_head(table).await?.revision)
}
