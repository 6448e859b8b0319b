//! HTTP endpoints beside those for callers: the load balancer's readiness check and the metrics.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use chicorystage_api::choice::CHOICE_PATH;
use chicorystage_borders::BoxFuture;
use chicorystage_borders::http::{Handler, HttpServer, ResponseBody};
use chicorystage_platform::READINESS_PATH;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

use crate::gateway::answer_body::{AnswerBody, Never, buffered};
use crate::gateway::choice_page::{self, Asked};
use crate::gateway::shared::Gateway;
use crate::metrics::GatewayMetrics;
use crate::web;

/// Largest question about where a request would go, in bytes.
const QUESTION_BYTES_MAX: usize = 16 * 1024;

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

/// Serves the metrics, and answers about where requests would go, until a stop ends requests by a final error, or the process ends.
pub fn serve_metrics(server: HttpServer, gateway: &Rc<Gateway>) {
    let pages = Pages {
        metrics: Arc::clone(&gateway.metrics),
        questions: choice_page::start(gateway),
    };
    let running = server.start(Arc::new(pages));
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        gateway.aborting().await;
        drop(running);
    });
}

struct Pages {
    metrics: Arc<GatewayMetrics>,
    questions: mpsc::Sender<Asked>,
}

impl Handler for Pages {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>> {
        if request.uri().path() == CHOICE_PATH {
            return Box::pin(self.answer(request));
        }
        let text = self.metrics.encode();
        Box::pin(async move { web::text(StatusCode::OK, text) })
    }
}

impl Pages {
    /// Answers where a request would go now.
    async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let body = Limited::new(request.into_body(), QUESTION_BYTES_MAX);
        let Ok(body) = body.collect().await else {
            return web::text(StatusCode::PAYLOAD_TOO_LARGE, "the question is too long");
        };
        let question = match serde_json::from_slice(&body.to_bytes()) {
            Ok(question) => question,
            Err(error) => return web::text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let (answer, answered) = oneshot::channel();
        let asked = Asked { question, answer };
        if self.questions.send(asked).await.is_err() {
            return web::text(StatusCode::SERVICE_UNAVAILABLE, "the gateway stops");
        }
        match answered.await {
            Ok(Ok(answer)) => web::json(StatusCode::OK, &answer),
            Ok(Err(fault)) => web::text(StatusCode::NOT_FOUND, fault.to_string()),
            Err(_) => web::text(StatusCode::SERVICE_UNAVAILABLE, "the gateway stops"),
        }
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
