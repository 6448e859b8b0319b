//! Writes snapshots of the inventory and trims old records from the log.

use bytes::Bytes;
use chicorystage_api::inventory::{SNAPSHOT_OBJECT_KEY, Snapshot};
use chicorystage_borders::table::Table;

use crate::router::borders::RouterBorders;
use crate::router::event::RouterEvent;
use crate::router::handle::RouterHandle;
use crate::router::inventory::InventoryEvent;
use crate::router::inventory::rows;
use crate::router::inventory::table_read::read_records;

/// Number of revisions between two snapshots.
pub(crate) const SNAPSHOT_EVERY_REVISIONS: u64 = 128;
/// Number of records before the snapshot that stay in the log, for the history.
pub(crate) const LOG_KEPT_REVISIONS: u64 = 20_000;
/// Maximum number of records deleted in one transaction.
const TRIM_RECORDS: usize = 100;

/// Writes a snapshot, trims the log if that succeeded, and reports the result to the main loop.
pub(crate) async fn write(borders: RouterBorders, handle: RouterHandle, snapshot: Snapshot) {
    let revision = snapshot.revision;
    let written = match serde_json::to_vec(&snapshot) {
        Ok(content) => borders
            .object_store
            .put(SNAPSHOT_OBJECT_KEY, Bytes::from(content))
            .await
            .is_ok(),
        Err(_unserialisable) => false,
    };
    if written {
        trim(&*borders.table, revision.saturating_sub(LOG_KEPT_REVISIONS)).await;
    }
    let event = InventoryEvent::SnapshotWriteEnded(written.then_some(revision));
    handle.send(RouterEvent::Inventory(event)).await;
}

/// Deletes the records up to a revision; stops at the first error and leaves the rest to the next write.
async fn trim(table: &dyn Table, up_to_revision: u64) {
    loop {
        let Ok(mut records) = read_records(table, 0, TRIM_RECORDS).await else {
            return;
        };
        records.retain(|record| record.revision <= up_to_revision);
        if records.is_empty()
            || table
                .commit(rows::trim_transaction(&records))
                .await
                .is_err()
        {
            return;
        }
    }
}
