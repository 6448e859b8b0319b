use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use chicorystage_api::work::ServiceCall;
use chicorystage_borders::BoxFuture;
use chicorystage_borders::http::{Handler, ResponseBody, full_body};
use chicorystage_borders::service::Service;
use http::{HeaderValue, Request, Response, StatusCode, header::CONTENT_TYPE};
use hyper::body::Incoming;

use crate::fakes::FakeService;
use crate::standin::wire;

/// Serves a fake service over HTTP.
///
/// Every request is a call to the service, except those to `/healthz`, `/control/runs`
/// and `/control/faults`.
#[derive(Debug)]
pub struct ServiceApi {
    service: Arc<FakeService>,
}

impl ServiceApi {
    /// Creates a handler that serves the given service.
    #[must_use]
    pub fn new(service: Arc<FakeService>) -> Self {
        Self { service }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let path = request
            .uri()
            .path_and_query()
            .map_or("/", |path| path.as_str())
            .to_owned();
        match path.as_str() {
            "/healthz" => return wire::json_response(&()),
            "/control/runs" => return wire::json_response(&self.service.runs()),
            "/control/faults" => {
                return match wire::parse_body(request).await {
                    Ok(fault) => {
                        self.service.inject(fault);
                        wire::json_response(&())
                    }
                    Err(response) => response,
                };
            }
            _ => {}
        }
        let call = ServiceCall {
            application: "".into(),
            method: request.method().as_str().into(),
            path: path.into(),
            content_type: Arc::default(),
            idempotent: true,
            body_base64: STANDARD.encode(wire::read_body(request).await).into(),
        };
        match self.service.call(call).await {
            Ok(reply) => {
                let mut response = Response::new(full_body(reply.body));
                *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or_default();
                if let Ok(value) = HeaderValue::from_str(&reply.content_type) {
                    response.headers_mut().insert(CONTENT_TYPE, value);
                }
                response
            }
            // A crashed service never responds, so the client must run into its timeout.
            Err(_died) => std::future::pending().await,
        }
    }
}

impl Handler for ServiceApi {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>> {
        Box::pin(self.answer(request))
    }
}
