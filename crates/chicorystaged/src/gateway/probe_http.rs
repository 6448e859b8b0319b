//! HTTP endpoints beside those for callers: the load balancer's readiness check and the metrics.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use chicorystage_borders::BoxFuture;
use chicorystage_borders::http::{Handler, HttpServer, ResponseBody};
use chicorystage_platform::READINESS_PATH;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::gateway::answer_body::{AnswerBody, Never, buffered};
use crate::gateway::shared::Gateway;
use crate::metrics::GatewayMetrics;
use crate::web;

/// Serves the readiness check: 200 while the gateway accepts new connections, otherwise 503.
pub fn serve_readiness(listener: TcpListener, gateway: Rc<Gateway>) {
    tokio::task::spawn_local(async move {
        loop {
            let Ok((stream, _peer)) = listener.accept().await else {
                tokio::task::yield_now().await;
                continue;
            };
            let gateway = Rc::clone(&gateway);
            let answer = service_fn(move |request: Request<Incoming>| {
                let status = readiness(&gateway, request.uri().path());
                async move { Ok::<_, Never>(empty(status)) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), answer);
            tokio::task::spawn_local(async move {
                // After an error the load balancer checks again on a new connection.
                let _ended = connection.await;
            });
        }
    });
}

/// Serves the metrics until a stop ends requests by a final error, or the process ends.
pub fn serve_metrics(server: HttpServer, gateway: &Rc<Gateway>) {
    let page = MetricsPage {
        metrics: Arc::clone(&gateway.metrics),
    };
    let running = server.start(Arc::new(page));
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        gateway.aborting().await;
        drop(running);
    });
}

struct MetricsPage {
    metrics: Arc<GatewayMetrics>,
}

impl Handler for MetricsPage {
    fn handle(&self, _request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>> {
        let text = self.metrics.encode();
        Box::pin(async move { web::text(StatusCode::OK, text) })
    }
}

fn readiness(gateway: &Gateway, path: &str) -> StatusCode {
    if path != READINESS_PATH {
        return StatusCode::NOT_FOUND;
    }
    if gateway.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

fn empty(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(buffered(Bytes::new()));
    *response.status_mut() = status;
    response
}
