use std::net::SocketAddr;

use chicorystage_api::name::RequestId;
use chicorystage_api::peer::{
    Changes, ChangesQuery, PermitAnswer, PermitRequest, PlaceRequest, PlacementPush,
    QuarantineEntry, RequestTrace, RevisionAck, RevisionHint, RouterRpcClient, RouterStatus,
};

use crate::http::rpc_clients::{RpcClients, call};
use crate::link::RouterLink;
use crate::{BorderError, BoxFuture};

/// Client of routers over JSON-RPC.
#[derive(Debug)]
pub struct RpcRouterLink {
    clients: RpcClients,
    poll_clients: RpcClients,
}

impl RpcRouterLink {
    /// Creates a link; `timeout_ms` bounds each call, `poll_timeout_ms` each long poll.
    #[must_use]
    pub fn new(timeout_ms: u64, poll_timeout_ms: u64) -> Self {
        Self {
            clients: RpcClients::new(timeout_ms),
            poll_clients: RpcClients::new(poll_timeout_ms),
        }
    }
}

impl RouterLink for RpcRouterLink {
    fn hint(
        &self,
        router: SocketAddr,
        hint: RevisionHint,
    ) -> BoxFuture<'_, Result<RevisionAck, BorderError>> {
        call!(self.clients, router, client => client.hint(hint))
    }

    fn changes(
        &self,
        router: SocketAddr,
        query: ChangesQuery,
    ) -> BoxFuture<'_, Result<Changes, BorderError>> {
        call!(self.poll_clients, router, client => client.changes(query))
    }

    fn place(
        &self,
        router: SocketAddr,
        request: PlaceRequest,
    ) -> BoxFuture<'_, Result<Option<PlacementPush>, BorderError>> {
        call!(self.clients, router, client => client.place(request))
    }

    fn acquire_permit(
        &self,
        router: SocketAddr,
        request: PermitRequest,
    ) -> BoxFuture<'_, Result<PermitAnswer, BorderError>> {
        call!(self.clients, router, client => client.acquire_permit(request))
    }

    fn release_permit(
        &self,
        router: SocketAddr,
        permit_id: u64,
    ) -> BoxFuture<'_, Result<(), BorderError>> {
        call!(self.clients, router, client => client.release_permit(permit_id))
    }

    fn push_quarantine(
        &self,
        router: SocketAddr,
        entries: Vec<QuarantineEntry>,
    ) -> BoxFuture<'_, Result<(), BorderError>> {
        call!(self.clients, router, client => client.push_quarantine(entries))
    }

    fn status(&self, router: SocketAddr) -> BoxFuture<'_, Result<RouterStatus, BorderError>> {
        call!(self.clients, router, client => client.status())
    }

    fn explain(
        &self,
        router: SocketAddr,
        request_id: RequestId,
    ) -> BoxFuture<'_, Result<Option<RequestTrace>, BorderError>> {
        call!(self.clients, router, client => client.explain(request_id))
    }

    fn drain(&self, router: SocketAddr) -> BoxFuture<'_, Result<(), BorderError>> {
        call!(self.clients, router, client => client.drain())
    }
}
