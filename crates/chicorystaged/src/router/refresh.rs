//! Tasks that poll the platform and send what they read to the main loop.

use std::sync::Arc;

use chicorystage_borders::vm_list::VmList;

use crate::router::borders::RouterBorders;
use crate::router::event::RouterEvent;
use crate::router::handle::RouterHandle;
use crate::router::inventory;
use crate::timer::Clock;

/// Interval between two reads of the list of VMs, in milliseconds.
const VM_LIST_READ_INTERVAL_MS: u64 = 1_000;

/// Starts the tasks that poll the inventory and the list of VMs; they end with the main loop.
pub fn spawn(borders: &RouterBorders, handle: &RouterHandle, clock: Clock) {
    inventory::follow_head(borders, handle, clock);
    tokio::spawn(read_vms(
        Arc::clone(&borders.vm_list),
        handle.clone(),
        clock,
    ));
}

async fn read_vms(vm_list: Arc<dyn VmList>, handle: RouterHandle, clock: Clock) {
    let mut ticks = clock.subscribe(VM_LIST_READ_INTERVAL_MS);
    loop {
        if let Ok(vms) = vm_list.read().await
            && !handle.send(RouterEvent::VmsRead(vms)).await
        {
            return;
        }
        if ticks.recv().await.is_none() {
            return;
        }
    }
}
