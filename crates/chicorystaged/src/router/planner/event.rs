use chicorystage_api::name::{ModelName, VmId};
use chicorystage_api::peer::{PlaceRequest, PlacementAck, PlacementPush};
use chicorystage_core::planner::PlanFailure;
use tokio::sync::oneshot;

/// One event of the router's planner.
#[derive(Debug)]
pub enum PlannerEvent {
    /// Another router requests a slot for a model.
    Place {
        /// Model, VMs to avoid, and whether an additional slot is requested.
        request: PlaceRequest,
        /// Receives the row in force; `None` if no slot could be decided.
        reply: oneshot::Sender<Option<PlacementPush>>,
    },
    /// The remote planner of a model failed to answer or decided no slot.
    RemotePlanFailed {
        /// The request that was sent to the remote planner.
        request: PlaceRequest,
    },
    /// A planning run ended.
    RunEnded {
        /// Model of the run.
        model: ModelName,
        /// Row in force (`None` if no VM can hold a slot), or why the run was abandoned.
        result: Result<Option<PlacementPush>, PlanFailure>,
    },
    /// An agent acknowledged pushed rows.
    Acked {
        /// VM of the agent.
        vm: VmId,
        /// Per row, whether the agent holds or has released its slot.
        acks: Vec<PlacementAck>,
    },
    /// A scan of the table returned the placement rows.
    Scanned {
        /// Every row that could be parsed.
        rows: Vec<PlacementPush>,
    },
    /// The maintenance timer fired.
    Tick,
}
