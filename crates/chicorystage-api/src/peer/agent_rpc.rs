use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::peer::{
    AgentStatus, AttemptRef, ClaimQuery, ClaimState, PlacementAck, PlacementPush, QuarantineEntry,
};

/// What an agent answers to routers and operators.
#[rpc(server, client, namespace = "agent")]
pub trait AgentRpc {
    /// Reports what the agent holds and runs.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<AgentStatus>;

    /// Tells what became of a claim; tombstones one that was never seen.
    #[method(name = "query_claim")]
    async fn query_claim(&self, query: ClaimQuery) -> RpcResult<ClaimState>;

    /// Gives up an attempt whose caller has gone.
    #[method(name = "cancel")]
    async fn cancel(&self, attempt: AttemptRef) -> RpcResult<()>;

    /// Delivers placement rows that concern the agent's VM.
    #[method(name = "push_placements")]
    async fn push_placements(&self, pushes: Vec<PlacementPush>) -> RpcResult<Vec<PlacementAck>>;

    /// Delivers quarantined digests.
    #[method(name = "push_quarantine")]
    async fn push_quarantine(&self, entries: Vec<QuarantineEntry>) -> RpcResult<()>;

    /// Starts a graceful stop.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<()>;
}
