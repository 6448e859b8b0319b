use std::sync::Arc;

use chicorystage_api::peer::{PLACEMENT_ROW_PREFIX, PlacementPush};
use chicorystage_borders::table::Table;

use crate::router::event::RouterEvent;
use crate::router::handle::RouterHandle;
use crate::router::planner::{PlannerEvent, row_store};
use crate::timer::Clock;

/// Interval between two maintenance ticks, in milliseconds.
const MAINTENANCE_INTERVAL_MS: u64 = 1_000;
/// Number of maintenance ticks between two scans of the placement rows.
const TICKS_PER_SCAN: u64 = 30;
/// Maximum number of rows in one page of a scan.
const SCAN_PAGE_ROWS: usize = 1_000;

/// Sends maintenance ticks and scanned placement rows to the main loop until it ends.
///
/// A failed scan is repeated at the next tick.
pub(crate) async fn run(table: Arc<dyn Table>, handle: RouterHandle, clock: Clock) {
    let mut ticks = clock.subscribe(MAINTENANCE_INTERVAL_MS);
    let mut ticks_until_scan = 0;
    loop {
        if ticks_until_scan == 0
            && let Some(rows) = scan(&*table).await
        {
            ticks_until_scan = TICKS_PER_SCAN;
            let scanned = PlannerEvent::Scanned { rows };
            handle.send(RouterEvent::Planner(scanned)).await;
        }
        ticks_until_scan = ticks_until_scan.saturating_sub(1);
        if ticks.recv().await.is_none()
            || !handle.send(RouterEvent::Planner(PlannerEvent::Tick)).await
        {
            return;
        }
    }
}

/// Reads every placement row; `None` if a page could not be read.
async fn scan(table: &dyn Table) -> Option<Vec<PlacementPush>> {
    let mut rows = Vec::new();
    let mut after = None;
    loop {
        let page = table
            .scan(PLACEMENT_ROW_PREFIX, after.as_deref(), SCAN_PAGE_ROWS)
            .await
            .ok()?;
        rows.extend(page.rows.iter().filter_map(row_store::parse));
        after = page.next_after;
        if after.is_none() {
            return Some(rows);
        }
    }
}
