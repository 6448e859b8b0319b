use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::name::RequestId;
use crate::peer::{
    Changes, ChangesQuery, PermitAnswer, PermitRequest, PlaceRequest, PlacementPush,
    QuarantineEntry, RequestTrace, RevisionAck, RevisionHint, RouterStatus,
};

/// What a router answers to other routers, agents and operators.
#[rpc(server, client, namespace = "router")]
pub trait RouterRpc {
    /// Tells of a newer inventory revision; answers once it is in force here.
    #[method(name = "hint")]
    async fn hint(&self, hint: RevisionHint) -> RpcResult<RevisionAck>;

    /// Long-polls for inventory changes after a revision.
    #[method(name = "changes")]
    async fn changes(&self, query: ChangesQuery) -> RpcResult<Changes>;

    /// Asks the planner of a model for a slot; answers with the row in force.
    #[method(name = "place")]
    async fn place(&self, request: PlaceRequest) -> RpcResult<Option<PlacementPush>>;

    /// Asks for permission to fetch weights.
    #[method(name = "acquire_permit")]
    async fn acquire_permit(&self, request: PermitRequest) -> RpcResult<PermitAnswer>;

    /// Returns a permit.
    #[method(name = "release_permit")]
    async fn release_permit(&self, permit_id: u64) -> RpcResult<()>;

    /// Delivers quarantined digests.
    #[method(name = "push_quarantine")]
    async fn push_quarantine(&self, entries: Vec<QuarantineEntry>) -> RpcResult<()>;

    /// Reports the router's state.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<RouterStatus>;

    /// Tells what happened to a request that this router accepted.
    #[method(name = "explain")]
    async fn explain(&self, request_id: RequestId) -> RpcResult<Option<RequestTrace>>;

    /// Starts a graceful stop.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<()>;
}
