//! Tasks that keep reading what changes outside the agent.

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

/// Time between two reads of the endpoint's state, in milliseconds.
const ENDPOINT_READ_INTERVAL_MS: u64 = 500;
/// Time between two reads of the list of VMs, in milliseconds.
const VM_LIST_READ_INTERVAL_MS: u64 = 2_000;
/// Time between two tries to read the slots, in milliseconds.
const SLOTS_READ_RETRY_MS: u64 = 500;
/// Longest long poll for inventory changes, in milliseconds.
const CHANGES_WAIT_MS: u64 = 10_000;
/// Pause between two long polls, in milliseconds.
const CHANGES_PAUSE_MS: u64 = 100;
/// Delay after a router did not answer a long poll, in milliseconds.
const CHANGES_RETRY_MS: u64 = 1_000;

/// Ticks of the main loop, for deadlines and idle replicas.
pub(crate) async fn tick(handle: AgentHandle, clock: Clock, period_ms: u64) {
    let mut ticks = clock.subscribe(period_ms);
    while ticks.recv().await.is_some() {
        if !handle.tell(AgentEvent::Tick).await {
            return;
        }
    }
}

/// Reads the engine's status over and over.
pub(crate) async fn watch_engine(engine: Arc<dyn Engine>, handle: AgentHandle, clock: Clock) {
    let mut ticks = clock.subscribe(ENDPOINT_READ_INTERVAL_MS);
    while order_task::read_status(engine.as_ref(), &handle, clock).await {
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

/// Probes the service over and over.
pub(crate) async fn watch_service(service: Arc<dyn Service>, handle: AgentHandle, clock: Clock) {
    let mut ticks = clock.subscribe(ENDPOINT_READ_INTERVAL_MS);
    loop {
        let up = service.probe().await.is_ok();
        if !handle.tell(AgentEvent::ServiceProbed { up }).await || ticks.recv().await.is_none() {
            return;
        }
    }
}

/// Reads the list of VMs over and over.
pub(crate) async fn watch_vm_list(list: Arc<dyn VmList>, handle: AgentHandle, clock: Clock) {
    let mut ticks = clock.subscribe(VM_LIST_READ_INTERVAL_MS);
    loop {
        if let Ok(vms) = list.read().await
            && !handle.tell(AgentEvent::VmListRead(vms.into())).await
        {
            return;
        }
        if handle.is_closed() || ticks.recv().await.is_none() {
            return;
        }
    }
}

/// Reads the agent's slots until the table answers.
pub(crate) async fn read_slots(table: Arc<dyn Table>, handle: AgentHandle) {
    loop {
        let result = table_task::read_slots(table.as_ref()).await;
        let is_read = result.is_ok();
        if !handle.tell(AgentEvent::SlotsRead(result)).await || is_read {
            return;
        }
        sleep(Duration::from_millis(SLOTS_READ_RETRY_MS)).await;
    }
}

/// Long-polls one router for inventory changes, another where it does not answer.
///
/// `revision` tells the revision in force; the loop advances it.
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
                if !handle.tell(AgentEvent::InventoryRead(changes)).await {
                    return;
                }
                // The next poll starts from the revision that the loop then has.
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

/// Returns the router that an agent polls after that many failures.
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
