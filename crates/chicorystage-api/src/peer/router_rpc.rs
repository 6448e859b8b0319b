use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::name::RequestId;
use crate::peer::{
    Changes, ChangesQuery, PermitAnswer, PermitRequest, PlaceRequest, PlacementPush,
    QuarantineEntry, RequestTrace, RevisionAck, RevisionHint, RouterStatus,
};

/// JSON-RPC methods of a router, called by other routers, agents and operators.
#[rpc(server, client, namespace = "router")]
pub trait RouterRpc {
    /// Notifies the router of a committed inventory revision.
    ///
    /// Answers with the router's own revision once the notified one is in force
    /// there, or after a bounded wait.
    #[method(name = "hint")]
    async fn hint(&self, hint: RevisionHint) -> RpcResult<RevisionAck>;

    /// Long-polls for inventory changes after a revision.
    #[method(name = "changes")]
    async fn changes(&self, query: ChangesQuery) -> RpcResult<Changes>;

    /// Requests a slot from the planner of a model; returns the placement row in force.
    #[method(name = "place")]
    async fn place(&self, request: PlaceRequest) -> RpcResult<Option<PlacementPush>>;

    /// Requests a permit to fetch weights.
    #[method(name = "acquire_permit")]
    async fn acquire_permit(&self, request: PermitRequest) -> RpcResult<PermitAnswer>;

    /// Releases a permit.
    #[method(name = "release_permit")]
    async fn release_permit(&self, permit_id: u64) -> RpcResult<()>;

    /// Delivers decisions on suspected, quarantined and cleared digests.
    #[method(name = "push_quarantine")]
    async fn push_quarantine(&self, entries: Vec<QuarantineEntry>) -> RpcResult<()>;

    /// Returns the router's state.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<RouterStatus>;

    /// Returns the trace of a request that this router accepted; `None` if it has none.
    #[method(name = "explain")]
    async fn explain(&self, request_id: RequestId) -> RpcResult<Option<RequestTrace>>;

    /// Starts a drain, after which the router exits.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<()>;
}
