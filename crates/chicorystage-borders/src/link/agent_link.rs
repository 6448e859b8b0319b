use std::net::SocketAddr;

use chicorystage_api::peer::{
    AgentStatus, AttemptRef, ClaimQuery, ClaimState, PlacementAck, PlacementPush, QuarantineEntry,
};
use chicorystage_api::work::{AttemptRequest, Frame};
use tokio::sync::mpsc;

use crate::{BorderError, BoxFuture};

/// Frames of one attempt, received on one connection.
///
/// The channel closes when the connection ends. The response is complete only
/// if its final frame arrived before that. Dropping the receiver closes the
/// connection.
pub type FrameStream = mpsc::Receiver<Frame>;

/// Client interface of agents, each identified by its internal address.
pub trait AgentLink: Send + Sync {
    /// Starts an attempt and returns its frames.
    ///
    /// `NotDelivered` means that the agent certainly didn't receive the request.
    fn start(
        &self,
        agent: SocketAddr,
        request: AttemptRequest,
    ) -> BoxFuture<'_, Result<FrameStream, BorderError>>;

    /// Resumes an attempt at a frame offset, always on a new connection.
    ///
    /// `Rejected` means that the agent doesn't know the attempt.
    fn resume(
        &self,
        agent: SocketAddr,
        attempt: AttemptRef,
        offset: u64,
    ) -> BoxFuture<'_, Result<FrameStream, BorderError>>;

    /// Cancels an attempt whose caller no longer needs it.
    fn cancel(
        &self,
        agent: SocketAddr,
        attempt: AttemptRef,
    ) -> BoxFuture<'_, Result<(), BorderError>>;

    /// Returns the state of a claim on the agent.
    fn query_claim(
        &self,
        agent: SocketAddr,
        query: ClaimQuery,
    ) -> BoxFuture<'_, Result<ClaimState, BorderError>>;

    /// Sends placement rows and returns the agent's acknowledgements, one per model.
    fn push_placements(
        &self,
        agent: SocketAddr,
        pushes: Vec<PlacementPush>,
    ) -> BoxFuture<'_, Result<Vec<PlacementAck>, BorderError>>;

    /// Sends quarantine entries: quarantines and lifts.
    fn push_quarantine(
        &self,
        agent: SocketAddr,
        entries: Vec<QuarantineEntry>,
    ) -> BoxFuture<'_, Result<(), BorderError>>;

    /// Returns the agent's incarnation, slots, replicas, memory and load.
    fn status(&self, agent: SocketAddr) -> BoxFuture<'_, Result<AgentStatus, BorderError>>;

    /// Requests a graceful stop of the agent.
    fn drain(&self, agent: SocketAddr) -> BoxFuture<'_, Result<(), BorderError>>;
}
