//! Events of the agent's main loop.

use chicorystage_api::name::ModelName;
use chicorystage_api::peer::{
    AgentStatus, AttemptRef, ClaimQuery, ClaimState, PlacementAck, PlacementPush, QuarantineEntry,
};
use chicorystage_api::refusal::Refusal;
use chicorystage_api::work::{AttemptRequest, Frame, Payload};
use chicorystage_platform::engine::EngineStatus;
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
    /// A model load ended.
    Loaded {
        /// Model that was loaded.
        model: ModelName,
        /// Time that it took, in milliseconds, or why it failed.
        result: Result<u64, Refusal>,
    },
    /// The engine's status was read.
    EngineRead(Option<EngineStatus>),
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
    /// Somebody asks for a graceful stop.
    Drain,
}
