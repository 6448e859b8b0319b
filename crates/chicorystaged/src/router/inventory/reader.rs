//! Polls the head row of the inventory in the platform's table.

use std::sync::Arc;

use chicorystage_borders::BorderError;
use chicorystage_borders::object_store::ObjectStore;
use chicorystage_borders::table::Table;
use tokio::sync::oneshot;

use crate::router::borders::RouterBorders;
use crate::router::event::RouterEvent;
use crate::router::handle::RouterHandle;
use crate::router::inventory::table_read::{read_head, read_update};
use crate::router::inventory::{InventoryEvent, InventoryUpdate};
use crate::timer::Clock;

/// Interval between two reads of the head row, in milliseconds.
const HEAD_READ_INTERVAL_MS: u64 = 1_000;
/// Interval between two ticks of the inventory's part of the main loop, in milliseconds.
const TICK_INTERVAL_MS: u64 = 250;

/// Starts the tasks that poll the head row and send ticks; they end with the main loop.
pub(crate) fn follow_head(borders: &RouterBorders, handle: &RouterHandle, clock: Clock) {
    tokio::spawn(run_reader(
        Arc::clone(&borders.table),
        Arc::clone(&borders.object_store),
        handle.clone(),
        clock,
    ));
    tokio::spawn(run_ticks(handle.clone(), clock));
}

async fn run_ticks(handle: RouterHandle, clock: Clock) {
    let mut ticks = clock.subscribe(TICK_INTERVAL_MS);
    while let Some(tick) = ticks.recv().await {
        let event = RouterEvent::Inventory(InventoryEvent::Tick(tick));
        if !handle.send(event).await {
            return;
        }
    }
}

async fn run_reader(
    table: Arc<dyn Table>,
    object_store: Arc<dyn ObjectStore>,
    handle: RouterHandle,
    clock: Clock,
) {
    let mut ticks = clock.subscribe(HEAD_READ_INTERVAL_MS);
    loop {
        let (wake, woken) = oneshot::channel();
        let in_force_revision = handle
            .ask_inventory(|reply| InventoryEvent::ReadStarting { wake, reply })
            .await;
        let Some(in_force_revision) = in_force_revision else {
            return;
        };
        let started_ms = clock.now_ms();
        let event = match read_once(&*table, &*object_store, in_force_revision).await {
            Ok((head_revision, update)) => InventoryEvent::HeadRead {
                started_ms,
                head_revision,
                update,
            },
            Err(_table_down) => InventoryEvent::HeadReadFailed,
        };
        if !handle.send(RouterEvent::Inventory(event)).await {
            return;
        }
        tokio::select! {
            tick = ticks.recv() => if tick.is_none() {
                return;
            },
            Ok(()) = woken => {}
        }
    }
}

async fn read_once(
    table: &dyn Table,
    object_store: &dyn ObjectStore,
    in_force_revision: u64,
) -> Result<(u64, InventoryUpdate), BorderError> {
    let head = read_head(table).await?;
    let update = read_update(table, object_store, in_force_revision, head.revision).await?;
    Ok((head.revision, update))
}
