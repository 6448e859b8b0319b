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
    asked: Vec<SocketAddr>,
    classes: Vec<Class>,
    permits_wait: bool,
    released: Vec<u64>,
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
    pub fn asked(&self) -> Vec<SocketAddr> {
        self.lock().asked.clone()
    }

    /// Sets whether the permit holder answers with a retry delay instead of a permit.
    pub fn set_permits_wait(&self, permits_wait: bool) {
        self.lock().permits_wait = permits_wait;
    }

    /// Returns the class of each permit request, in order.
    pub fn classes(&self) -> Vec<Class> {
        self.lock().classes.clone()
    }

    /// Returns the ids of the released permits, in order.
    pub fn released(&self) -> Vec<u64> {
        self.lock().released.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn permit(&self, router: SocketAddr, class: Class) -> Result<PermitAnswer, BorderError> {
        let mut state = self.lock();
        state.asked.push(router);
        state.classes.push(class);
        let (holder, address) = state.permit_holder.clone().ok_or_else(not_offered)?;
        if address != router {
            return Ok(PermitAnswer::Elsewhere { holder });
        }
        if state.permits_wait {
            return Ok(PermitAnswer::Wait { retry_in_ms: 100 });
        }
        Ok(PermitAnswer::Granted {
            permit_id: 7,
            expires_in_ms: 10_000,
        })
    }
}

fn not_offered() -> BorderError {
    BorderError::new(BorderErrorKind::Rejected, "method not found")
}

fn unused<T: Send + 'static>() -> BoxFuture<'static, Result<T, BorderError>> {
    Box::pin(async { Err(not_offered()) })
}

impl RouterLink for TestRouter {
    fn hint(
        &self,
        _router: SocketAddr,
        _hint: RevisionHint,
    ) -> BoxFuture<'_, Result<RevisionAck, BorderError>> {
        unused()
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
        unused()
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
            self.lock().released.push(permit_id);
            Ok(())
        })
    }

    fn push_quarantine(
        &self,
        _router: SocketAddr,
        _entries: Vec<QuarantineEntry>,
    ) -> BoxFuture<'_, Result<(), BorderError>> {
        unused()
    }

    fn status(&self, _router: SocketAddr) -> BoxFuture<'_, Result<RouterStatus, BorderError>> {
        unused()
    }

    fn drain(&self, _router: SocketAddr) -> BoxFuture<'_, Result<(), BorderError>> {
        unused()
    }
}
