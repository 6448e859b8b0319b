use chicorystage_api::name::RequestId;
use chicorystage_api::peer::{
    Changes, ChangesQuery, PermitAnswer, PermitRequest, PlaceRequest, PlacementPush,
    QuarantineEntry, RequestTrace, RevisionAck, RevisionHint, RouterRpcServer, RouterStatus,
};
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::INTERNAL_ERROR_CODE;
use tokio::sync::oneshot;

use crate::router::event::RouterEvent;
use crate::router::handle::RouterHandle;
use crate::router::inventory::InventoryEvent;
use crate::router::permits::PermitEvent;
use crate::router::planner::PlannerEvent;

/// RPC methods for other routers and agents, answered by the main loop.
#[derive(Clone, Debug)]
pub(crate) struct InternalRpc {
    handle: RouterHandle,
}

impl InternalRpc {
    pub(crate) fn new(handle: RouterHandle) -> Self {
        Self { handle }
    }

    async fn ask<T>(&self, event: impl FnOnce(oneshot::Sender<T>) -> RouterEvent) -> RpcResult<T> {
        self.handle.ask(event).await.ok_or_else(unanswered)
    }
}

#[async_trait]
impl RouterRpcServer for InternalRpc {
    async fn hint(&self, hint: RevisionHint) -> RpcResult<RevisionAck> {
        self.ask(|reply| RouterEvent::Inventory(InventoryEvent::Hint { hint, reply }))
            .await
    }

    async fn changes(&self, query: ChangesQuery) -> RpcResult<Changes> {
        self.ask(|reply| RouterEvent::Inventory(InventoryEvent::Poll { query, reply }))
            .await
    }

    async fn place(&self, request: PlaceRequest) -> RpcResult<Option<PlacementPush>> {
        self.ask(|reply| RouterEvent::Planner(PlannerEvent::Place { request, reply }))
            .await
    }

    async fn acquire_permit(&self, request: PermitRequest) -> RpcResult<PermitAnswer> {
        self.ask(|reply| RouterEvent::Permit(PermitEvent::Acquire { request, reply }))
            .await
    }

    async fn release_permit(&self, permit_id: u64) -> RpcResult<()> {
        let event = RouterEvent::Permit(PermitEvent::Release { permit_id });
        if !self.handle.send(event).await {
            return Err(unanswered());
        }
        Ok(())
    }

    async fn push_quarantine(&self, entries: Vec<QuarantineEntry>) -> RpcResult<()> {
        self.ask(|reply| RouterEvent::PushQuarantine { entries, reply })
            .await
    }

    async fn status(&self) -> RpcResult<RouterStatus> {
        self.ask(|reply| RouterEvent::Status { reply }).await
    }

    async fn explain(&self, request_id: RequestId) -> RpcResult<Option<RequestTrace>> {
        Ok(self.handle.explain(request_id).await)
    }

    async fn drain(&self) -> RpcResult<()> {
        self.ask(|reply| RouterEvent::Drain { reply }).await
    }
}

fn unanswered() -> ErrorObjectOwned {
    let detail = "this router is stopping or does not answer this call";
    ErrorObjectOwned::owned(INTERNAL_ERROR_CODE, detail, None::<()>)
}
