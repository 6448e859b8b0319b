use std::net::SocketAddr;

use chicorystage_api::name::RequestId;
use chicorystage_api::peer::{
    Changes, ChangesQuery, PermitAnswer, PermitRequest, PlaceRequest, PlacementPush,
    QuarantineEntry, RequestTrace, RevisionAck, RevisionHint, RouterStatus,
};

use crate::{BorderError, BoxFuture};

/// Client interface of routers, each identified by its internal address.
pub trait RouterLink: Send + Sync {
    /// Sends the newest revision known here and returns the revision in force at the router.
    fn hint(
        &self,
        router: SocketAddr,
        hint: RevisionHint,
    ) -> BoxFuture<'_, Result<RevisionAck, BorderError>>;

    /// Returns the inventory changes after a revision, by a long poll with the query's wait.
    fn changes(
        &self,
        router: SocketAddr,
        query: ChangesQuery,
    ) -> BoxFuture<'_, Result<Changes, BorderError>>;

    /// Requests a slot from the router that plans a model's placements.
    ///
    /// Returns the placement row in force, or `None` without one.
    fn place(
        &self,
        router: SocketAddr,
        request: PlaceRequest,
    ) -> BoxFuture<'_, Result<Option<PlacementPush>, BorderError>>;

    /// Requests a permit to fetch weights.
    fn acquire_permit(
        &self,
        router: SocketAddr,
        request: PermitRequest,
    ) -> BoxFuture<'_, Result<PermitAnswer, BorderError>>;

    /// Returns a permit before it expires.
    fn release_permit(
        &self,
        router: SocketAddr,
        permit_id: u64,
    ) -> BoxFuture<'_, Result<(), BorderError>>;

    /// Sends quarantine entries: suspects, quarantines and lifts.
    fn push_quarantine(
        &self,
        router: SocketAddr,
        entries: Vec<QuarantineEntry>,
    ) -> BoxFuture<'_, Result<(), BorderError>>;

    /// Returns the router's revision, readiness and number of requests in progress.
    fn status(&self, router: SocketAddr) -> BoxFuture<'_, Result<RouterStatus, BorderError>>;

    /// Returns the trace of a request that the router accepted; `None` if it is unknown.
    ///
    /// The default implementation returns `None` for every request.
    fn explain(
        &self,
        _router: SocketAddr,
        _request_id: RequestId,
    ) -> BoxFuture<'_, Result<Option<RequestTrace>, BorderError>> {
        Box::pin(async { Ok(None) })
    }

    /// Requests a graceful stop of the router.
    fn drain(&self, router: SocketAddr) -> BoxFuture<'_, Result<(), BorderError>>;
}
