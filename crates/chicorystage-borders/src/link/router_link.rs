use std::net::SocketAddr;

use chicorystage_api::name::RequestId;
use chicorystage_api::peer::{
    Changes, ChangesQuery, PermitAnswer, PermitRequest, PlaceRequest, PlacementPush,
    QuarantineEntry, RequestTrace, RevisionAck, RevisionHint, RouterStatus,
};

use crate::{BorderError, BoxFuture};

/// Routers, addressed by their internal address.
pub trait RouterLink: Send + Sync {
    /// Tells of a newer inventory revision.
    fn hint(
        &self,
        router: SocketAddr,
        hint: RevisionHint,
    ) -> BoxFuture<'_, Result<RevisionAck, BorderError>>;

    /// Long-polls for inventory changes.
    fn changes(
        &self,
        router: SocketAddr,
        query: ChangesQuery,
    ) -> BoxFuture<'_, Result<Changes, BorderError>>;

    /// Asks the planner of a model for a slot.
    fn place(
        &self,
        router: SocketAddr,
        request: PlaceRequest,
    ) -> BoxFuture<'_, Result<Option<PlacementPush>, BorderError>>;

    /// Asks for permission to fetch weights.
    fn acquire_permit(
        &self,
        router: SocketAddr,
        request: PermitRequest,
    ) -> BoxFuture<'_, Result<PermitAnswer, BorderError>>;

    /// Returns a permit.
    fn release_permit(
        &self,
        router: SocketAddr,
        permit_id: u64,
    ) -> BoxFuture<'_, Result<(), BorderError>>;

    /// Delivers quarantined digests.
    fn push_quarantine(
        &self,
        router: SocketAddr,
        entries: Vec<QuarantineEntry>,
    ) -> BoxFuture<'_, Result<(), BorderError>>;

    /// Reads the router's state.
    fn status(&self, router: SocketAddr) -> BoxFuture<'_, Result<RouterStatus, BorderError>>;

    /// Asks what happened to a request that the router accepted.
    ///
    /// A link that cannot ask knows of no request.
    fn explain(
        &self,
        _router: SocketAddr,
        _request_id: RequestId,
    ) -> BoxFuture<'_, Result<Option<RequestTrace>, BorderError>> {
        Box::pin(async { Ok(None) })
    }

    /// Starts a graceful stop.
    fn drain(&self, router: SocketAddr) -> BoxFuture<'_, Result<(), BorderError>>;
}
