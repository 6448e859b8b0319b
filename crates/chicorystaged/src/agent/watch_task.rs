//! Tasks that poll the endpoint, the placement rows, the list of VMs and a router for changes.

use std::sync::Arc;
use std::time::Duration;

use chicorystage_api::name::{GroupName, VmId};
use chicorystage_api::peer::{Changes, ChangesQuery};
use chicorystage_borders::engine::Engine;
use chicorystage_borders::link::RouterLink;
use chicorystage_borders::service::Service;
use chicorystage_borders::table::Table;
use chicorystage_borders::vm_list::{VmEntry, VmList, VmState};
use chicorystage_core::rendezvous;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::agent::event::AgentEvent;
use crate::agent::handle::AgentHandle;
use crate::agent::{order_task, table_task};
use crate::timer::Clock;

/// Interval between two reads of the endpoint's state, in milliseconds.
const ENDPOINT_READ_INTERVAL_MS: u64 = 500;
/// Interval between two reads of the list of VMs, in milliseconds.
const VM_LIST_READ_INTERVAL_MS: u64 = 2_000;
/// Delay after a failed read of the slots, in milliseconds.
const SLOTS_READ_RETRY_MS: u64 = 500;
/// Time that a router may hold a long poll for inventory changes, in milliseconds.
const CHANGES_WAIT_MS: u64 = 10_000;
/// Pause between two long polls, in milliseconds.
const CHANGES_PAUSE_MS: u64 = 100;
/// Delay after a failed long poll, in milliseconds; also the longest wait until
/// received changes are applied.
const CHANGES_RETRY_MS: u64 = 1_000;

/// Sends [`AgentEvent::Tick`] to the main loop every `period_ms` until the loop ends.
pub(crate) async fn tick(handle: AgentHandle, clock: Clock, period_ms: u64) {
    let mut ticks = clock.subscribe(period_ms);
    while ticks.recv().await.is_some() {
        if !handle.send(AgentEvent::Tick).await {
            return;
        }
    }
}

/// Reads the engine's status periodically until the main loop ends.
pub(crate) async fn watch_engine(engine: Arc<dyn Engine>, handle: AgentHandle, clock: Clock) {
    let mut ticks = clock.subscribe(ENDPOINT_READ_INTERVAL_MS);
    while order_task::read_status(engine.as_ref(), &handle, clock).await {
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

/// Probes the service periodically until the main loop ends.
pub(crate) async fn watch_service(service: Arc<dyn Service>, handle: AgentHandle, clock: Clock) {
    let mut ticks = clock.subscribe(ENDPOINT_READ_INTERVAL_MS);
    loop {
        let up = service.probe().await.is_ok();
        if !handle.send(AgentEvent::ServiceProbed { up }).await || ticks.recv().await.is_none() {
            return;
        }
    }
}

/// Reads the list of VMs periodically until the main loop ends; skips failed reads.
pub(crate) async fn watch_vm_list(list: Arc<dyn VmList>, handle: AgentHandle, clock: Clock) {
    let mut ticks = clock.subscribe(VM_LIST_READ_INTERVAL_MS);
    loop {
        if let Ok(vms) = list.read().await
            && !handle.send(AgentEvent::VmListRead(vms.into())).await
        {
            return;
        }
        if handle.is_closed() || ticks.recv().await.is_none() {
            return;
        }
    }
}

/// Reads all placement rows, retrying until a read succeeds; reports each read's result.
pub(crate) async fn read_all_slots(table: Arc<dyn Table>, handle: AgentHandle) {
    loop {
        let result = table_task::read_all_slots(table.as_ref()).await;
        let is_read = result.is_ok();
        if !handle.send(AgentEvent::AllSlotsRead(result)).await || is_read {
            return;
        }
        sleep(Duration::from_millis(SLOTS_READ_RETRY_MS)).await;
    }
}

/// Long-polls one router for inventory changes; switches to the next one after a failure.
///
/// `revision` is the revision in force, which the main loop advances. The task
/// ends when the loop does.
pub(crate) async fn watch_inventory(
    link: Arc<dyn RouterLink>,
    handle: AgentHandle,
    vm: VmId,
    router_group: GroupName,
    vms: watch::Receiver<Arc<[VmEntry]>>,
    mut revision: watch::Receiver<u64>,
) {
    let mut failures = 0;
    loop {
        let router = ranked_router(&vm, &router_group, &vms.borrow(), failures);
        let query = ChangesQuery {
            vm: vm.clone(),
            since_revision: *revision.borrow_and_update(),
            wait_ms: CHANGES_WAIT_MS,
        };
        let answer = match router {
            Some(router) => link.changes(router.address, query).await.ok(),
            None => None,
        };
        match answer {
            Some(Changes::Unchanged) => failures = 0,
            Some(changes) => {
                failures = 0;
                if !handle.send(AgentEvent::InventoryRead(changes)).await {
                    return;
                }
                // The next poll starts from the loop's revision, so wait until it has advanced.
                let wait = Duration::from_millis(CHANGES_RETRY_MS);
                let _advanced = tokio::time::timeout(wait, revision.changed()).await;
            }
            None => {
                failures += 1;
                sleep(Duration::from_millis(CHANGES_RETRY_MS)).await;
            }
        }
        if revision.has_changed().is_err() {
            return;
        }
        sleep(Duration::from_millis(CHANGES_PAUSE_MS)).await;
    }
}

/// Returns the live router to poll after `failures` consecutive failures.
///
/// Routers are ranked by rendezvous hashing on the VM. `None` if no router is live.
fn ranked_router(
    vm: &VmId,
    group: &GroupName,
    vms: &[VmEntry],
    failures: usize,
) -> Option<VmEntry> {
    let routers = vms
        .iter()
        .filter(|entry| entry.group == *group && entry.state == VmState::Live);
    let mut routers: Vec<VmEntry> = routers.cloned().collect();
    rendezvous::rank(vm.as_str(), &mut routers, |router| router.id.as_str());
    let len = routers.len().max(1);
    routers.into_iter().nth(failures % len)
}
