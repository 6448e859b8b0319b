use chicorystage_platform::BoxFuture;
use chicorystage_platform::http::{Handler, ResponseBody};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::router::handle::RouterHandle;
use crate::web;

/// Answers the system's own processes.
#[derive(Debug)]
pub(crate) struct InternalApi {
    handle: RouterHandle,
}

impl InternalApi {
    pub(crate) fn new(handle: RouterHandle) -> Self {
        Self { handle }
    }
}

impl Handler for InternalApi {
    fn handle(&self, _request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>> {
        Box::pin(async move {
            match self.handle.status().await {
                Some(status) => web::json(StatusCode::OK, &status),
                None => web::text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
            }
        })
    }
}
