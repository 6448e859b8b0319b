//! A stub of the routers that an agent calls: inventory long polls and load permits.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use chicorystage_api::inventory::{Class, Snapshot};
use chicorystage_api::name::VmId;
use chicorystage_api::peer::{
    Changes, ChangesQuery, PermitAnswer, PermitRequest, PlaceRequest, PlacementPush,
    QuarantineEntry, RevisionAck, RevisionHint, RouterStatus,
};
use chicorystage_borders::link::RouterLink;
use chicorystage_borders::{BorderError, BorderErrorKind, BoxFuture};
use tokio::time::sleep;

/// A stub for all routers that answers long polls and permit requests as configured.
#[derive(Debug, Default)]
pub struct TestRouter {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    snapshot: Option<Snapshot>,
    permit_holder: Option<(VmId, SocketAddr)>,
    permit_targets: Vec<SocketAddr>,
    permit_classes: Vec<Class>,
    permits_deferred: bool,
    released_permits: Vec<u64>,
}

impl TestRouter {
    pub fn set_inventory(&self, snapshot: Snapshot) {
        self.lock().snapshot = Some(snapshot);
    }

    /// Makes one router grant permits; the others redirect to it.
    pub fn set_permit_holder(&self, vm: &str, address: SocketAddr) {
        self.lock().permit_holder = Some((vm.into(), address));
    }

    /// Returns the address of each permit request, in order.
    pub fn permit_targets(&self) -> Vec<SocketAddr> {
        self.lock().permit_targets.clone()
    }

    /// Sets whether the permit holder answers with a retry delay instead of a permit.
    pub fn set_permits_deferred(&self, permits_deferred: bool) {
        self.lock().permits_deferred = permits_deferred;
    }

    /// Returns the class of each permit request, in order.
    pub fn permit_classes(&self) -> Vec<Class> {
        self.lock().permit_classes.clone()
    }

    /// Returns the ids of the released permits, in order.
    pub fn released_permits(&self) -> Vec<u64> {
        self.lock().released_permits.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn permit(&self, router: SocketAddr, class: Class) -> Result<PermitAnswer, BorderError> {
        let mut state = self.lock();
        state.permit_targets.push(router);
        state.permit_classes.push(class);
        let (holder, address) = state.permit_holder.clone().ok_or_else(method_not_found)?;
        if address != router {
            return Ok(PermitAnswer::Elsewhere { holder });
        }
        if state.permits_deferred {
            return Ok(PermitAnswer::Wait { retry_in_ms: 100 });
        }
        Ok(PermitAnswer::Granted {
            permit_id: 7,
            expires_in_ms: 10_000,
        })
    }
}

fn method_not_found() -> BorderError {
    BorderError::new(BorderErrorKind::Rejected, "method not found")
}

fn unsupported<T: Send + 'static>() -> BoxFuture<'static, Result<T, BorderError>> {
    Box::pin(async { Err(method_not_found()) })
}

impl RouterLink for TestRouter {
    fn hint(
        &self,
        _router: SocketAddr,
        _hint: RevisionHint,
    ) -> BoxFuture<'_, Result<RevisionAck, BorderError>> {
        unsupported()
    }

    fn changes(
        &self,
        _router: SocketAddr,
        query: ChangesQuery,
    ) -> BoxFuture<'_, Result<Changes, BorderError>> {
        Box::pin(async move {
            let snapshot = self.lock().snapshot.clone();
            let newer = snapshot.filter(|snapshot| snapshot.revision > query.since_revision);
            let Some(snapshot) = newer else {
                sleep(Duration::from_millis(query.wait_ms.min(500))).await;
                return Ok(Changes::Unchanged);
            };
            Ok(Changes::Whole { snapshot })
        })
    }

    fn place(
        &self,
        _router: SocketAddr,
        _request: PlaceRequest,
    ) -> BoxFuture<'_, Result<Option<PlacementPush>, BorderError>> {
        unsupported()
    }

    fn acquire_permit(
        &self,
        router: SocketAddr,
        request: PermitRequest,
    ) -> BoxFuture<'_, Result<PermitAnswer, BorderError>> {
        Box::pin(async move { self.permit(router, request.class) })
    }

    fn release_permit(
        &self,
        _router: SocketAddr,
        permit_id: u64,
    ) -> BoxFuture<'_, Result<(), BorderError>> {
        Box::pin(async move {
            self.lock().released_permits.push(permit_id);
            Ok(())
        })
    }

    fn push_quarantine(
        &self,
        _router: SocketAddr,
        _entries: Vec<QuarantineEntry>,
    ) -> BoxFuture<'_, Result<(), BorderError>> {
        unsupported()
    }

    fn status(&self, _router: SocketAddr) -> BoxFuture<'_, Result<RouterStatus, BorderError>> {
        unsupported()
    }

    fn drain(&self, _router: SocketAddr) -> BoxFuture<'_, Result<(), BorderError>> {
        unsupported()
    }
}
