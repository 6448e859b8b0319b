//! Events that the agent's main loop handles, from routers, operators and its own tasks.

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
    /// A router starts an attempt; a duplicate resumes the attempt at offset 0.
    Start {
        /// The attempt.
        request: Box<AttemptRequest>,
        /// Receives the attempt's frames, from offset 0.
        frames: mpsc::UnboundedSender<Frame>,
    },
    /// A router reconnects to an attempt that it started earlier.
    Resume {
        /// The attempt.
        attempt: AttemptRef,
        /// Offset of the first frame to send.
        offset: u64,
        /// Receives the frames from that offset.
        frames: mpsc::UnboundedSender<Frame>,
        /// Receives false if the attempt is unknown or its record has expired.
        reply: oneshot::Sender<bool>,
    },
    /// A router cancels an attempt.
    Cancel(AttemptRef),
    /// A task that runs an attempt on the endpoint produced output.
    Output {
        /// Attempt that produced the output.
        attempt: AttemptRef,
        /// Content of the next frame.
        payload: Payload,
    },
    /// An order (a load or unload command to the engine) was answered or failed.
    OrderEnded {
        /// Number that the replica tracker assigned to the order.
        order: u64,
        /// The engine's answer, or why there is none.
        result: Result<(), BorderError>,
        /// Time from sending the order to its end, without the wait for a permit, in
        /// milliseconds.
        took_ms: u64,
        /// Whether the order needed a permit, got none from a router and was delayed
        /// locally instead.
        paced_locally: bool,
    },
    /// A read of the engine's status ended.
    EngineStatusRead {
        /// Clock reading when the status was requested, in milliseconds.
        begun_ms: u64,
        /// The status; `None` if the engine did not answer.
        status: Option<EngineStatus>,
    },
    /// The service was probed.
    ServiceProbed {
        /// Whether the service answered the probe.
        up: bool,
    },
    /// A read of all placement rows from the table ended.
    AllSlotsRead(Result<SlotRows, BorderError>),
    /// A read of one model's placement row from the table ended.
    SlotRowRead {
        /// Model of the row.
        model: ModelName,
        /// Row version of the router's grant that caused the read.
        granted_version: u64,
        /// The row with its version; `None` if the table has no such row.
        result: Result<Option<(u64, PlacementRow)>, BorderError>,
    },
    /// An attempt to release a slot in the table ended.
    SlotReleased {
        /// Model of the slot.
        model: ModelName,
        /// The row without the slot, with its version; `None` if the table has no row.
        result: Result<Option<(u64, PlacementRow)>, BorderError>,
    },
    /// The platform's list of VMs was read.
    VmListRead(Arc<[VmEntry]>),
    /// A router answered a long poll with inventory changes.
    InventoryRead(Changes),
    /// Periodic tick for deadlines, idle replicas and slot releases.
    Tick,
    /// A router asks for the state of a claim.
    QueryClaim {
        /// Identifies the claim.
        query: ClaimQuery,
        /// Receives the claim's state.
        reply: oneshot::Sender<ClaimState>,
    },
    /// A router delivers placement rows.
    PushPlacements {
        /// The rows.
        pushes: Vec<PlacementPush>,
        /// Receives one acknowledgement for each row, in the same order.
        reply: oneshot::Sender<Vec<PlacementAck>>,
    },
    /// A router delivers request digests to quarantine or to clear.
    PushQuarantine(Vec<QuarantineEntry>),
    /// A router, an operator or a readiness check asks for the agent's state.
    Status {
        /// Receives the state.
        reply: oneshot::Sender<AgentStatus>,
    },
    /// A metrics scraper asks for the agent's metrics.
    Metrics {
        /// Receives the metrics in the Prometheus text format.
        reply: oneshot::Sender<String>,
    },
    /// A stop signal or an operator requests a graceful stop.
    Drain,
}

/// All placement rows as read from the table.
#[derive(Debug)]
pub struct SlotRows {
    /// Newest commit number of the table when the read began.
    pub table_version: u64,
    /// Rows with their versions.
    pub rows: Vec<(u64, PlacementRow)>,
}
