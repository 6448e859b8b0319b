use chicorystage_api::name::{ModelName, VmId};
use chicorystage_api::peer::{PlaceRequest, PlacementAck, PlacementPush};
use chicorystage_core::planner::PlanFailure;
use tokio::sync::oneshot;

/// One event of the router's planner.
#[derive(Debug)]
pub enum PlannerEvent {
    /// Another router asks for a slot.
    Place {
        /// What it needs.
        request: PlaceRequest,
        /// Receives the row in force; none where no slot could be decided.
        reply: oneshot::Sender<Option<PlacementPush>>,
    },
    /// The planner that was asked did not answer.
    PlannerSilent {
        /// What was asked.
        request: PlaceRequest,
    },
    /// A run ended.
    RunEnded {
        /// Model of the run.
        model: ModelName,
        /// Row in force, or why the run was given up.
        result: Result<Option<PlacementPush>, PlanFailure>,
    },
    /// An agent acknowledged pushed rows.
    Acked {
        /// VM of the agent.
        vm: VmId,
        /// What it did with the rows.
        acks: Vec<PlacementAck>,
    },
    /// Placement rows were read from the table.
    Scanned {
        /// The rows.
        rows: Vec<PlacementPush>,
    },
    /// Time for upkeep.
    Tick,
}
