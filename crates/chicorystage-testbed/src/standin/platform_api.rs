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
use crate::standin::http_weight_store::{FETCH_PATH, FetchRequest};
use crate::standin::wire;

/// Default number of rows in a scan page, used if the client sends no limit.
const SCAN_LIMIT_DEFAULT: usize = 1_000;

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
            (&Method::POST, "/table/v1/transaction") => match wire::parse_body(request).await {
                Ok(transaction) => wire::result_response(self.table.commit(transaction).await),
                Err(response) => response,
            },
            (&Method::GET, "/vms/v1/list") => match self.vms.read().await {
                Ok(vms) => wire::json_with_etag(&request, &vms),
                Err(error) => wire::result_response::<()>(Err(error)),
            },
            (&Method::POST, FETCH_PATH) => match wire::parse_body::<FetchRequest>(request).await {
                Ok(fetch) => {
                    self.weights.fetch(fetch.kind, fetch.duration_ms).await;
                    wire::json_response(&())
                }
                Err(response) => response,
            },
            (_, path) => match path.strip_prefix("/objects/v1/") {
                Some(key) => self.object(wire::percent_decode(key), request).await,
                None if path.starts_with("/control/") => self
                    .control(request)
                    .await
                    .unwrap_or_else(|response| response),
                None => wire::text_response(StatusCode::NOT_FOUND, "not found"),
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
            "/control/vms" => self.vms.put(wire::parse_body::<VmEntry>(request).await?),
            "/control/vms/remove" => self.vms.remove(&wire::parse_body(request).await?),
            "/control/vms/leaving" => {
                let vm = wire::parse_body(request).await?;
                self.vms.set_state(&vm, VmState::Leaving);
            }
            "/control/vms/stale" => self.vms.set_stale(wire::parse_body(request).await?),
            "/control/vms/down" => self.vms.set_down(wire::parse_body(request).await?),
            "/control/objects/down" => self.objects.set_down(wire::parse_body(request).await?),
            "/control/table/fault" => {
                self.table
                    .set_fault(wire::parse_body::<TableFault>(request).await?);
            }
            "/control/table/calls" => return Ok(wire::json_response(&self.table.calls())),
            "/control/weights/slowdown" => {
                self.weights
                    .set_slowdown_percent(wire::parse_body(request).await?);
            }
            "/control/weights/highest" => {
                return Ok(wire::json_response(&self.weights.in_flight_highest()));
            }
            _ => return Err(wire::text_response(StatusCode::NOT_FOUND, "not found")),
        }
        Ok(wire::json_response(&()))
    }

    async fn row(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        let key = wire::query_param(request, "key").unwrap_or_default();
        match self.table.get(&key).await {
            Ok(None) => wire::text_response(StatusCode::NOT_FOUND, "no such row"),
            found => wire::result_response(found),
        }
    }

    async fn scan(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        let prefix = wire::query_param(request, "prefix").unwrap_or_default();
        let after = wire::query_param(request, "after");
        let limit = wire::query_param(request, "limit")
            .and_then(|limit| limit.parse().ok())
            .unwrap_or(SCAN_LIMIT_DEFAULT);
        wire::result_response(self.table.scan(&prefix, after.as_deref(), limit).await)
    }

    async fn object(&self, key: String, request: Request<Incoming>) -> Response<ResponseBody> {
        if request.method() == Method::PUT {
            let content = wire::read_body(request).await;
            return wire::result_response(self.objects.put(&key, content).await);
        }
        match self.objects.get(&key).await {
            Ok(Some(content)) => Response::new(chicorystage_borders::http::full_body(content)),
            Ok(None) => wire::text_response(StatusCode::NOT_FOUND, "no such object"),
            Err(error) => wire::result_response::<()>(Err(error)),
        }
    }
}

impl Handler for PlatformApi {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>> {
        Box::pin(self.answer(request))
    }
}
