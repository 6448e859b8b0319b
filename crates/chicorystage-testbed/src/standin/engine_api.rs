use std::sync::Arc;

use bytes::Bytes;
use chicorystage_borders::BoxFuture;
use chicorystage_borders::engine::{CompletionStart, Engine, EngineStream, Order};
use chicorystage_borders::http::{Handler, ResponseBody, channel_body};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::fakes::FakeEngine;
use crate::standin::wire;

const STREAMS_PATH: &str = "/engine/v1/streams";
/// Events buffered for a slow connection before the stream applies backpressure.
const EVENTS_BUFFERED: usize = 64;

/// Serves a fake model engine over HTTP.
#[derive(Debug)]
pub struct EngineApi {
    engine: Arc<FakeEngine>,
}

impl EngineApi {
    /// Creates a handler that serves the given engine.
    #[must_use]
    pub fn new(engine: Arc<FakeEngine>) -> Self {
        Self { engine }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/engine/v1/status") => {
                wire::result_response(self.engine.status().await)
            }
            (&Method::GET, "/engine/v1/load") => {
                wire::result_response(self.engine.load_report().await)
            }
            (&Method::GET, "/engine/v1/events") => {
                let after =
                    wire::query_param(&request, "after").and_then(|after| after.parse().ok());
                wire::result_response(self.engine.cache_events(after.unwrap_or(0)).await)
            }
            (&Method::GET, "/control/report") => wire::json_response(&self.engine.report()),
            (&Method::POST, "/control/faults") => match wire::parse_body(request).await {
                Ok(fault) => {
                    self.engine.inject(fault);
                    wire::json_response(&())
                }
                Err(response) => response,
            },
            (&Method::POST, "/engine/v1/orders") => {
                match wire::parse_body::<Order>(request).await {
                    Ok(order) => wire::result_response(self.engine.order(order).await),
                    Err(response) => response,
                }
            }
            (&Method::POST, STREAMS_PATH) => {
                match wire::parse_body::<CompletionStart>(request).await {
                    Ok(start) => stream_response(self.engine.start(start).await),
                    Err(response) => response,
                }
            }
            (method, path) => match path
                .strip_prefix(STREAMS_PATH)
                .and_then(|rest| rest.strip_prefix('/'))
            {
                Some(rest) if method == Method::GET => {
                    let offset = wire::query_param(&request, "offset")
                        .and_then(|offset| offset.parse().ok());
                    stream_response(
                        self.engine
                            .resume(&wire::percent_decode(rest), offset.unwrap_or(0))
                            .await,
                    )
                }
                Some(rest) => {
                    let stream_id = wire::percent_decode(rest.trim_end_matches("/cancel"));
                    wire::result_response(self.engine.cancel(&stream_id).await)
                }
                None => wire::text_response(StatusCode::NOT_FOUND, "not found"),
            },
        }
    }
}

impl Handler for EngineApi {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>> {
        Box::pin(self.answer(request))
    }
}

/// Returns a response whose body has one JSON line for each event of an engine stream.
fn stream_response(
    opened: Result<EngineStream, chicorystage_borders::BorderError>,
) -> Response<ResponseBody> {
    let mut events = match opened {
        Ok(events) => events,
        Err(error) => return wire::result_response::<()>(Err(error)),
    };
    let (mut sender, body) = channel_body(EVENTS_BUFFERED);
    tokio::spawn(async move {
        while let Some(event) = events.recv().await {
            let mut line = serde_json::to_vec(&event).expect("message types serialise to JSON");
            line.push(b'\n');
            if sender.send(Bytes::from(line)).await.is_err() {
                return;
            }
        }
        sender.finish();
    });
    Response::new(body)
}
