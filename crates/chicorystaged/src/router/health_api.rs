use std::sync::Arc;

use chicorystage_borders::BoxFuture;
use chicorystage_borders::http::{Handler, ResponseBody};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::metrics::Metrics;
use crate::router::handle::RouterHandle;
use crate::web;

/// HTTP handler of liveness, readiness and metrics.
#[derive(Debug)]
pub(crate) struct HealthApi {
    handle: RouterHandle,
    metrics: Arc<Metrics>,
}

impl HealthApi {
    pub(crate) fn new(handle: RouterHandle, metrics: Arc<Metrics>) -> Self {
        Self { handle, metrics }
    }
}

impl Handler for HealthApi {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>> {
        Box::pin(async move {
            match request.uri().path() {
                "/healthz" => web::text(StatusCode::OK, "ok\n"),
                "/readyz" => match self.handle.status().await {
                    Some(status) if status.ready => web::text(StatusCode::OK, "ready\n"),
                    _ => web::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
                },
                "/metrics" => web::metrics(&self.metrics),
                _ => web::text(StatusCode::NOT_FOUND, "not found\n"),
            }
        })
    }
}
