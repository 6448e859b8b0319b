//! JSON-RPC requests that arrive at a daemon's own HTTP server.

use std::fmt;

use chicorystage_borders::BoxFuture;
use chicorystage_borders::http::ResponseBody;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::Service as _;
use hyper_util::service::TowerToHyperService;
use jsonrpsee::server::{Methods, Server, ServerHandle, stop_channel};

use crate::web;

type Answer =
    Box<dyn Fn(Request<Incoming>) -> BoxFuture<'static, Response<ResponseBody>> + Send + Sync>;

/// Dispatcher of JSON-RPC calls on connections that the daemon's HTTP server accepts.
pub(crate) struct RpcServer {
    answer: Answer,
    _handle: ServerHandle,
}

impl RpcServer {
    pub(crate) fn new(methods: Methods) -> Self {
        let (stop, handle) = stop_channel();
        let builder = Server::builder().to_service_builder();
        let answer = move |request| -> BoxFuture<'static, Response<ResponseBody>> {
            let service =
                TowerToHyperService::new(builder.clone().build(methods.clone(), stop.clone()));
            Box::pin(async move {
                match service.call(request).await {
                    Ok(response) => collect(response).await,
                    Err(error) => {
                        web::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n"))
                    }
                }
            })
        };
        Self {
            answer: Box::new(answer),
            _handle: handle,
        }
    }

    pub(crate) async fn call(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        (self.answer)(request).await
    }
}

impl fmt::Debug for RpcServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RpcServer").finish_non_exhaustive()
    }
}

/// Reads a whole JSON-RPC response into a body of this daemon's type.
///
/// Responses to control calls are small, so they needn't be streamed.
async fn collect(response: jsonrpsee::server::HttpResponse) -> Response<ResponseBody> {
    let (parts, body) = response.into_parts();
    match body.collect().await {
        Ok(body) => Response::from_parts(
            parts,
            chicorystage_borders::http::full_body(body.to_bytes()),
        ),
        Err(error) => web::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}
