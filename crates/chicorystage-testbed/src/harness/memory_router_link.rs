use std::net::SocketAddr;
use std::sync::Arc;

use chicorystage_api::name::{RequestId, VmId};
use chicorystage_api::peer::{
    Changes, ChangesQuery, PermitAnswer, PermitRequest, PlaceRequest, PlacementPush,
    QuarantineEntry, RequestTrace, RevisionAck, RevisionHint, RouterStatus,
};
use chicorystage_borders::link::RouterLink;
use chicorystage_borders::{BorderError, BoxFuture};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::harness::gate::VmGate;
use crate::harness::network::{Link, Network};

/// Timeout of a control call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2_000;
/// Timeout of a long poll, in milliseconds.
const POLL_TIMEOUT_MS: u64 = 30_000;

/// Client through which one process reaches the routers of its harness.
#[derive(Clone, Debug)]
pub struct MemoryRouterLink {
    network: Arc<Network>,
    from: VmId,
    gate: VmGate,
}

impl MemoryRouterLink {
    /// Creates the client of process `from`, whose traffic passes `gate`.
    #[must_use]
    pub fn new(network: Arc<Network>, from: VmId, gate: VmGate) -> Self {
        Self {
            network,
            from,
            gate,
        }
    }

    fn call<T: DeserializeOwned + Send + 'static>(
        &self,
        router: SocketAddr,
        method: &'static str,
        params: Value,
        timeout_ms: u64,
    ) -> BoxFuture<'_, Result<T, BorderError>> {
        let link = Link {
            from: self.from.clone(),
            gate: self.gate.clone(),
            to: router,
        };
        Box::pin(async move { self.network.call(&link, method, params, timeout_ms).await })
    }
}

impl RouterLink for MemoryRouterLink {
    fn hint(
        &self,
        router: SocketAddr,
        hint: RevisionHint,
    ) -> BoxFuture<'_, Result<RevisionAck, BorderError>> {
        self.call(router, "router_hint", json!([hint]), CALL_TIMEOUT_MS)
    }

    fn changes(
        &self,
        router: SocketAddr,
        query: ChangesQuery,
    ) -> BoxFuture<'_, Result<Changes, BorderError>> {
        self.call(router, "router_changes", json!([query]), POLL_TIMEOUT_MS)
    }

    fn place(
        &self,
        router: SocketAddr,
        request: PlaceRequest,
    ) -> BoxFuture<'_, Result<Option<PlacementPush>, BorderError>> {
        self.call(router, "router_place", json!([request]), CALL_TIMEOUT_MS)
    }

    fn acquire_permit(
        &self,
        router: SocketAddr,
        request: PermitRequest,
    ) -> BoxFuture<'_, Result<PermitAnswer, BorderError>> {
        let params = json!([request]);
        self.call(router, "router_acquire_permit", params, CALL_TIMEOUT_MS)
    }

    fn release_permit(
        &self,
        router: SocketAddr,
        permit_id: u64,
    ) -> BoxFuture<'_, Result<(), BorderError>> {
        let params = json!([permit_id]);
        self.call(router, "router_release_permit", params, CALL_TIMEOUT_MS)
    }

    fn push_quarantine(
        &self,
        router: SocketAddr,
        entries: Vec<QuarantineEntry>,
    ) -> BoxFuture<'_, Result<(), BorderError>> {
        let params = json!([entries]);
        self.call(router, "router_push_quarantine", params, CALL_TIMEOUT_MS)
    }

    fn status(&self, router: SocketAddr) -> BoxFuture<'_, Result<RouterStatus, BorderError>> {
        self.call(router, "router_status", json!([]), CALL_TIMEOUT_MS)
    }

    fn explain(
        &self,
        router: SocketAddr,
        request_id: RequestId,
    ) -> BoxFuture<'_, Result<Option<RequestTrace>, BorderError>> {
        let params = json!([request_id]);
        self.call(router, "router_explain", params, CALL_TIMEOUT_MS)
    }

    fn drain(&self, router: SocketAddr) -> BoxFuture<'_, Result<(), BorderError>> {
        self.call(router, "router_drain", json!([]), CALL_TIMEOUT_MS)
    }
}
