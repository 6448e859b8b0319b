use chicorystage_api::peer::PlacementPush;
use chicorystage_borders::table::{CommitOutcome, Table};
use chicorystage_borders::vm_list::VmEntry;
use chicorystage_core::placement::{DesiredSlots, SlotDemand};
use chicorystage_core::planner::{PlanEffect, PlanFailure, PlanRun};

use crate::router::borders::RouterBorders;
use crate::router::event::RouterEvent;
use crate::router::handle::RouterHandle;
use crate::router::planner::{PlannerEvent, probe, row_store};

/// Executes one planning run and sends its result to the main loop.
///
/// A maintenance run only removes or revokes slots, so it probes no candidates.
pub(crate) async fn run(
    borders: RouterBorders,
    handle: RouterHandle,
    mut desired: DesiredSlots,
    candidates: Vec<VmEntry>,
) {
    let model = desired.model.clone();
    if desired.demand != SlotDemand::Maintenance {
        desired.candidates = probe::probe(&borders.agents, &model, candidates).await;
    }
    let result = decide(&*borders.table, desired).await;
    let ended = PlannerEvent::RunEnded { model, result };
    handle.send(RouterEvent::Planner(ended)).await;
}

/// Drives the state machine of a run by performing the reads and commits it requests.
async fn decide(
    table: &dyn Table,
    desired: DesiredSlots,
) -> Result<Option<PlacementPush>, PlanFailure> {
    let model = desired.model.clone();
    let mut run = PlanRun::new(desired);
    let mut effect = PlanEffect::Read;
    loop {
        effect = match effect {
            PlanEffect::Read => run.on_read(row_store::read(table, &model).await),
            PlanEffect::Commit {
                row_version,
                cap_rows,
                row,
            } => match row_store::commit(table, row_version, cap_rows, &row).await {
                Ok(CommitOutcome::Applied { version }) => run.on_applied(version),
                Err(error) if error.had_no_effect() => run.on_not_delivered(),
                Ok(CommitOutcome::Conflict { .. }) | Err(_) => run.on_unresolved(),
            },
            PlanEffect::Done { push } => return Ok(push),
            PlanEffect::Failed(failure) => return Err(failure),
        };
    }
}
