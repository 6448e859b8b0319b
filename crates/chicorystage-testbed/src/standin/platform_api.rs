use std::sync::Arc;

use chicorystage_borders::BoxFuture;
use chicorystage_borders::http::{Handler, ResponseBody};
use chicorystage_borders::object_store::ObjectStore;
use chicorystage_borders::table::Table;
use chicorystage_borders::vm_list::{VmEntry, VmList, VmState};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::fakes::{
    FakeObjectStore, FakeTable, FakeVmList, FakeWeightStore, TableFault, WeightStore,
};
use crate::standin::http_weight_store::{FETCH_PATH, Fetch};
use crate::standin::wire;

/// Default number of rows in a scan page, used if the client sends no limit.
const SCAN_LIMIT: usize = 1_000;

/// Serves the fake platform over HTTP: table, object store, list of VMs and weight store.
#[derive(Debug, Default)]
pub struct PlatformApi {
    table: Arc<FakeTable>,
    objects: Arc<FakeObjectStore>,
    vms: Arc<FakeVmList>,
    weights: Arc<FakeWeightStore>,
}

impl PlatformApi {
    /// Creates a handler with an empty table, object store and list of VMs.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/table/v1/row") => self.row(&request).await,
            (&Method::GET, "/table/v1/scan") => self.scan(&request).await,
            (&Method::POST, "/table/v1/transaction") => match wire::parsed(request).await {
                Ok(transaction) => wire::result(self.table.commit(transaction).await),
                Err(response) => response,
            },
            (&Method::GET, "/vms/v1/list") => match self.vms.read().await {
                Ok(vms) => wire::tagged(&request, &vms),
                Err(error) => wire::result::<()>(Err(error)),
            },
            (&Method::POST, FETCH_PATH) => match wire::parsed::<Fetch>(request).await {
                Ok(fetch) => {
                    self.weights.fetch(fetch.kind, fetch.duration_ms).await;
                    wire::json(&())
                }
                Err(response) => response,
            },
            (_, path) => match path.strip_prefix("/objects/v1/") {
                Some(key) => self.object(wire::decode(key), request).await,
                None if path.starts_with("/control/") => self
                    .control(request)
                    .await
                    .unwrap_or_else(|response| response),
                None => wire::status(StatusCode::NOT_FOUND, "not found"),
            },
        }
    }

    /// Handles calls below `/control/`, which inject faults and read counters.
    async fn control(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Response<ResponseBody>> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/control/vms" => self.vms.put(wire::parsed::<VmEntry>(request).await?),
            "/control/vms/remove" => self.vms.remove(&wire::parsed(request).await?),
            "/control/vms/leaving" => {
                let vm = wire::parsed(request).await?;
                self.vms.set_state(&vm, VmState::Leaving);
            }
            "/control/vms/stale" => self.vms.set_stale(wire::parsed(request).await?),
            "/control/vms/down" => self.vms.set_down(wire::parsed(request).await?),
            "/control/objects/down" => self.objects.set_down(wire::parsed(request).await?),
            "/control/table/fault" => {
                self.table
                    .set_fault(wire::parsed::<TableFault>(request).await?);
            }
            "/control/table/calls" => return Ok(wire::json(&self.table.calls())),
            "/control/weights/slowdown" => {
                self.weights
                    .set_slowdown_percent(wire::parsed(request).await?);
            }
            "/control/weights/highest" => {
                return Ok(wire::json(&self.weights.in_flight_highest()));
            }
            _ => return Err(wire::status(StatusCode::NOT_FOUND, "not found")),
        }
        Ok(wire::json(&()))
    }

    async fn row(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        let key = wire::query(request, "key").unwrap_or_default();
        match self.table.get(&key).await {
            Ok(None) => wire::status(StatusCode::NOT_FOUND, "no such row"),
            found => wire::result(found),
        }
    }

    async fn scan(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        let prefix = wire::query(request, "prefix").unwrap_or_default();
        let after = wire::query(request, "after");
        let limit = wire::query(request, "limit")
            .and_then(|limit| limit.parse().ok())
            .unwrap_or(SCAN_LIMIT);
        wire::result(self.table.scan(&prefix, after.as_deref(), limit).await)
    }

    async fn object(&self, key: String, request: Request<Incoming>) -> Response<ResponseBody> {
        if request.method() == Method::PUT {
            let content = wire::body(request).await;
            return wire::result(self.objects.put(&key, content).await);
        }
        match self.objects.get(&key).await {
            Ok(Some(content)) => Response::new(chicorystage_borders::http::full_body(content)),
            Ok(None) => wire::status(StatusCode::NOT_FOUND, "no such object"),
            Err(error) => wire::result::<()>(Err(error)),
        }
    }
}

impl Handler for PlatformApi {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>> {
        Box::pin(self.answer(request))
    }
}
