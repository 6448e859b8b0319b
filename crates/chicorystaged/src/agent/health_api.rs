use chicorystage_borders::BoxFuture;
use chicorystage_borders::http::{Handler, ResponseBody};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::agent::event::AgentEvent;
use crate::agent::handle::AgentHandle;
use crate::web;

/// Serves liveness (`/healthz`), readiness (`/readyz`) and metrics (`/metrics`).
///
/// An agent is ready while its endpoint answers and it is not draining.
#[derive(Debug)]
pub(crate) struct HealthApi {
    handle: AgentHandle,
}

impl HealthApi {
    pub(crate) fn new(handle: AgentHandle) -> Self {
        Self { handle }
    }
}

impl Handler for HealthApi {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>> {
        Box::pin(async move {
            match request.uri().path() {
                "/healthz" => web::text(StatusCode::OK, "ok\n"),
                "/readyz" => match self.handle.ask(|reply| AgentEvent::Status { reply }).await {
                    Some(status) if status.endpoint_up && !status.leaving => {
                        web::text(StatusCode::OK, "ready\n")
                    }
                    _ => web::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
                },
                "/metrics" => match self.handle.ask(|reply| AgentEvent::Metrics { reply }).await {
                    Some(text) => web::text(StatusCode::OK, text),
                    None => web::text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
                },
                _ => web::text(StatusCode::NOT_FOUND, "not found\n"),
            }
        })
    }
}
