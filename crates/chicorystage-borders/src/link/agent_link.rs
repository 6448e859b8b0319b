use std::net::SocketAddr;

use chicorystage_api::peer::{
    AgentStatus, AttemptRef, ClaimQuery, ClaimState, PlacementAck, PlacementPush, QuarantineEntry,
};
use chicorystage_api::work::{AttemptRequest, Frame};
use tokio::sync::mpsc;

use crate::{BorderError, BoxFuture};

/// Frames of one attempt on one connection.
///
/// The channel closes when the connection ends; an answer is whole only if its
/// final frame came before that. Dropping the receiver closes the connection.
pub type FrameStream = mpsc::Receiver<Frame>;

/// Agents, addressed by their internal address.
pub trait AgentLink: Send + Sync {
    /// Starts an attempt.
    ///
    /// `NotDelivered` means that the agent certainly never saw it.
    fn start(
        &self,
        agent: SocketAddr,
        request: AttemptRequest,
    ) -> BoxFuture<'_, Result<FrameStream, BorderError>>;

    /// Reopens an attempt at a frame offset, always on a fresh connection.
    ///
    /// `Rejected` means that the agent does not know the attempt.
    fn resume(
        &self,
        agent: SocketAddr,
        attempt: AttemptRef,
        offset: u64,
    ) -> BoxFuture<'_, Result<FrameStream, BorderError>>;

    /// Gives up an attempt.
    fn cancel(
        &self,
        agent: SocketAddr,
        attempt: AttemptRef,
    ) -> BoxFuture<'_, Result<(), BorderError>>;

    /// Asks what became of a claim.
    fn query_claim(
        &self,
        agent: SocketAddr,
        query: ClaimQuery,
    ) -> BoxFuture<'_, Result<ClaimState, BorderError>>;

    /// Delivers placement rows.
    fn push_placements(
        &self,
        agent: SocketAddr,
        pushes: Vec<PlacementPush>,
    ) -> BoxFuture<'_, Result<Vec<PlacementAck>, BorderError>>;

    /// Delivers quarantined digests.
    fn push_quarantine(
        &self,
        agent: SocketAddr,
        entries: Vec<QuarantineEntry>,
    ) -> BoxFuture<'_, Result<(), BorderError>>;

    /// Reads the agent's state.
    fn status(&self, agent: SocketAddr) -> BoxFuture<'_, Result<AgentStatus, BorderError>>;

    /// Starts a graceful stop.
    fn drain(&self, agent: SocketAddr) -> BoxFuture<'_, Result<(), BorderError>>;
}
