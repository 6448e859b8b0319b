use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::peer::{
    AgentStatus, AttemptRef, ClaimQuery, ClaimState, PlacementAck, PlacementPush, QuarantineEntry,
};

/// JSON-RPC methods of an agent, called by routers and operators.
#[rpc(server, client, namespace = "agent")]
pub trait AgentRpc {
    /// Returns the agent's slots, replicas and load.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<AgentStatus>;

    /// Returns the state of a claim; tombstones a claim that the agent has never received.
    #[method(name = "query_claim")]
    async fn query_claim(&self, query: ClaimQuery) -> RpcResult<ClaimState>;

    /// Cancels an attempt whose caller has disconnected.
    #[method(name = "cancel")]
    async fn cancel(&self, attempt: AttemptRef) -> RpcResult<()>;

    /// Delivers placement rows that concern the agent's VM; returns one acknowledgement per model.
    #[method(name = "push_placements")]
    async fn push_placements(&self, pushes: Vec<PlacementPush>) -> RpcResult<Vec<PlacementAck>>;

    /// Delivers quarantine entries: new quarantines and lifted ones.
    #[method(name = "push_quarantine")]
    async fn push_quarantine(&self, entries: Vec<QuarantineEntry>) -> RpcResult<()>;

    /// Starts a drain, after which the agent exits.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<()>;
}
