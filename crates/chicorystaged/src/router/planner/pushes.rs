use std::sync::Arc;

use chicorystage_api::peer::PlacementPush;
use chicorystage_borders::vm_list::VmEntry;

use crate::router::borders::RouterBorders;
use crate::router::event::RouterEvent;
use crate::router::handle::RouterHandle;
use crate::router::planner::PlannerEvent;

/// Spawns a push of a row to one agent and sends the acknowledgement to the main loop.
///
/// A failed push is not retried here: the agent also reads its slots from the
/// table, and a revoking slot is pushed again at the next maintenance tick.
pub(crate) fn spawn(
    borders: &RouterBorders,
    handle: &RouterHandle,
    vm: &VmEntry,
    push: PlacementPush,
) {
    let (agents, handle, vm) = (Arc::clone(&borders.agents), handle.clone(), vm.clone());
    tokio::spawn(async move {
        let Ok(acks) = agents.push_placements(vm.address, vec![push]).await else {
            return;
        };
        let acked = PlannerEvent::Acked { vm: vm.id, acks };
        handle.send(RouterEvent::Planner(acked)).await;
    });
}
