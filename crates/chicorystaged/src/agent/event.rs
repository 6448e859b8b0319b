//! Events of the agent's main loop.

use std::sync::Arc;

use chicorystage_api::name::ModelName;
use chicorystage_api::peer::{
    AgentStatus, AttemptRef, Changes, ClaimQuery, ClaimState, PlacementAck, PlacementPush,
    PlacementRow, QuarantineEntry,
};
use chicorystage_api::work::{AttemptRequest, Frame, Payload};
use chicorystage_borders::BorderError;
use chicorystage_borders::engine::EngineStatus;
use chicorystage_borders::vm_list::VmEntry;
use tokio::sync::{mpsc, oneshot};

/// One event of the agent's main loop.
#[derive(Debug)]
pub enum AgentEvent {
    /// A router starts an attempt.
    Start {
        /// The attempt.
        request: Box<AttemptRequest>,
        /// Receives its frames from offset 0.
        frames: mpsc::UnboundedSender<Frame>,
    },
    /// A router reopens an attempt.
    Resume {
        /// The attempt.
        attempt: AttemptRef,
        /// First frame that is wanted.
        offset: u64,
        /// Receives the frames.
        frames: mpsc::UnboundedSender<Frame>,
        /// Receives whether the attempt is known.
        reply: oneshot::Sender<bool>,
    },
    /// A router gives up an attempt.
    Cancel(AttemptRef),
    /// An endpoint task has output.
    Output {
        /// Attempt that it belongs to.
        attempt: AttemptRef,
        /// Content.
        payload: Payload,
    },
    /// An order to the engine was answered or given up.
    OrderEnded {
        /// Number of the order.
        order: u64,
        /// Its answer.
        result: Result<(), BorderError>,
        /// Time until its answer, in milliseconds.
        took_ms: u64,
        /// Whether no router handed out a permit for it.
        paced_locally: bool,
    },
    /// The engine's status was asked for.
    EngineRead {
        /// Reading of the clock when it was asked for.
        begun_ms: u64,
        /// The status; none where the engine did not answer.
        status: Option<EngineStatus>,
    },
    /// The service was probed.
    ServiceProbed {
        /// Whether it answered.
        up: bool,
    },
    /// The agent's slots were read from the table.
    SlotsRead(Result<SlotsRead, BorderError>),
    /// The placement row of one model was read from the table.
    SlotRead {
        /// Model of the row.
        model: ModelName,
        /// Row version whose grant made the agent read.
        granted_version: u64,
        /// The row with its version; none where there is no row.
        result: Result<Option<(u64, PlacementRow)>, BorderError>,
    },
    /// The agent tried to give up a slot.
    SlotGivenUp {
        /// Model of the slot.
        model: ModelName,
        /// The row without the slot, with its version.
        result: Result<Option<(u64, PlacementRow)>, BorderError>,
    },
    /// The platform's list of VMs was read.
    VmListRead(Arc<[VmEntry]>),
    /// A router told of inventory changes.
    InventoryRead(Changes),
    /// Time has passed.
    Tick,
    /// A router asks what became of a claim.
    QueryClaim {
        /// The question.
        query: ClaimQuery,
        /// Receives the answer.
        reply: oneshot::Sender<ClaimState>,
    },
    /// A router delivers placement rows.
    PushPlacements {
        /// The rows.
        pushes: Vec<PlacementPush>,
        /// Receives what the agent did with them.
        reply: oneshot::Sender<Vec<PlacementAck>>,
    },
    /// A router delivers quarantined digests.
    PushQuarantine(Vec<QuarantineEntry>),
    /// Somebody asks for the agent's state.
    Status {
        /// Receives the state.
        reply: oneshot::Sender<AgentStatus>,
    },
    /// Somebody asks for the agent's metrics.
    Metrics {
        /// Receives them as text.
        reply: oneshot::Sender<String>,
    },
    /// Somebody asks for a graceful stop.
    Drain,
}

/// All placement rows as read from the table.
#[derive(Debug)]
pub struct SlotsRead {
    /// Newest commit number of the table when the read began.
    pub table_version: u64,
    /// Rows with their versions.
    pub rows: Vec<(u64, PlacementRow)>,
}
