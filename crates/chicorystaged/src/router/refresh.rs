//! Tasks that read the platform and tell the main loop what they found.

use std::sync::Arc;

use chicorystage_api::inventory::{HEAD_ROW_KEY, HeadRow, ITEM_ROW_PREFIX, ItemRow, Snapshot};
use chicorystage_platform::table::Table;
use chicorystage_platform::vm_list::VmList;

use crate::router::borders::RouterBorders;
use crate::router::event::RouterEvent;
use crate::router::handle::RouterHandle;
use crate::timer::Clock;

/// Time between two reads of the inventory's head, in milliseconds.
const HEAD_READ_INTERVAL_MS: u64 = 1_000;
/// Time between two reads of the list of VMs, in milliseconds.
const VM_LIST_READ_INTERVAL_MS: u64 = 1_000;
/// Rows a scan page.
const SCAN_PAGE_ROWS: usize = 1_000;

/// Starts the tasks; they end with the loop.
pub fn spawn(borders: &RouterBorders, handle: &RouterHandle, clock: Clock) {
    tokio::spawn(read_inventory(
        Arc::clone(&borders.table),
        handle.clone(),
        clock,
    ));
    tokio::spawn(read_vms(
        Arc::clone(&borders.vm_list),
        handle.clone(),
        clock,
    ));
}

async fn read_inventory(table: Arc<dyn Table>, handle: RouterHandle, clock: Clock) {
    let mut ticks = clock.subscribe(HEAD_READ_INTERVAL_MS);
    let mut revision = 0;
    loop {
        if let Some(snapshot) = newer_inventory(&*table, revision).await {
            revision = snapshot.revision;
            if !handle.tell(RouterEvent::InventoryRead(snapshot)).await {
                return;
            }
        }
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

/// Reads the whole inventory where the head is newer than `revision`.
///
/// Item rows are read after the head and may already hold a newer change; the
/// next read of the head catches up with it.
async fn newer_inventory(table: &dyn Table, revision: u64) -> Option<Snapshot> {
    let row = table.get(HEAD_ROW_KEY).await.ok()??;
    let head: HeadRow = serde_json::from_str(&row.value).ok()?;
    if head.revision <= revision {
        return None;
    }
    let mut rows = Vec::new();
    let mut after = None;
    loop {
        let page = table
            .scan(ITEM_ROW_PREFIX, after.as_deref(), SCAN_PAGE_ROWS)
            .await
            .ok()?;
        let parsed = page
            .rows
            .iter()
            .filter_map(|row| serde_json::from_str::<ItemRow>(&row.value).ok());
        rows.extend(parsed);
        after = page.next_after;
        if after.is_none() {
            break;
        }
    }
    Some(Snapshot {
        revision: head.revision,
        rows,
    })
}

async fn read_vms(vm_list: Arc<dyn VmList>, handle: RouterHandle, clock: Clock) {
    let mut ticks = clock.subscribe(VM_LIST_READ_INTERVAL_MS);
    loop {
        if let Ok(vms) = vm_list.read().await
            && !handle.tell(RouterEvent::VmsRead(vms)).await
        {
            return;
        }
        if ticks.recv().await.is_none() {
            return;
        }
    }
}
