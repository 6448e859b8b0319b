//! HTTP handler of the agent's internal address: attempts as frame streams, and JSON-RPC.
//!
//! Frames are sent as JSON lines. A heartbeat frame fills each longer pause, so
//! that the router can tell a slow attempt from a dead connection.

use bytes::Bytes;
use chicorystage_api::name::RequestId;
use chicorystage_api::peer::{AgentRpcServer, AttemptRef, RPC_PATH};
use chicorystage_api::work::{
    ATTEMPTS_PATH, AttemptRequest, Frame, HEARTBEAT_INTERVAL_MS, Payload,
};
use chicorystage_borders::BoxFuture;
use chicorystage_borders::http::{BodySender, Handler, ResponseBody, channel_body};
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::{Duration, timeout};

use crate::agent::control_api::ControlApi;
use crate::agent::event::AgentEvent;
use crate::agent::handle::AgentHandle;
use crate::rpc_server::RpcServer;
use crate::web;

/// Number of encoded frames buffered for each connection.
const FRAMES_BUFFERED: usize = 64;

/// Handles attempts and control calls from routers and operators.
#[derive(Debug)]
pub struct WorkApi {
    handle: AgentHandle,
    rpc: RpcServer,
}

impl WorkApi {
    /// Creates a handler that passes requests to the main loop behind `handle`.
    #[must_use]
    pub fn new(handle: AgentHandle) -> Self {
        let rpc = RpcServer::new(ControlApi::new(handle.clone()).into_rpc().into());
        Self { handle, rpc }
    }

    async fn start(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let Ok(body) = request.into_body().collect().await else {
            return web::text(StatusCode::BAD_REQUEST, "the body was cut\n");
        };
        let attempt: AttemptRequest = match serde_json::from_slice(&body.to_bytes()) {
            Ok(attempt) => attempt,
            Err(error) => return web::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        };
        let number = attempt.attempt;
        let (sender, frames) = mpsc::unbounded_channel();
        let event = AgentEvent::Start {
            request: Box::new(attempt),
            frames: sender,
        };
        if !self.handle.send(event).await {
            return web::text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
        }
        stream(number, 0, frames)
    }

    async fn resume(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        let Some((attempt, offset)) = parse_resume(request) else {
            return web::text(
                StatusCode::BAD_REQUEST,
                "allowed: REQUEST/ATTEMPT?offset=N\n",
            );
        };
        let number = attempt.attempt;
        let (sender, frames) = mpsc::unbounded_channel();
        let known = self
            .handle
            .ask(|reply| AgentEvent::Resume {
                attempt,
                offset,
                frames: sender,
                reply,
            })
            .await;
        match known {
            Some(true) => stream(number, offset, frames),
            Some(false) => web::text(StatusCode::NOT_FOUND, "unknown attempt\n"),
            None => web::text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
        }
    }
}

impl Handler for WorkApi {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>> {
        Box::pin(async move {
            let path = request.uri().path();
            if path == RPC_PATH {
                return self.rpc.call(request).await;
            }
            if path == ATTEMPTS_PATH && request.method() == Method::POST {
                return self.start(request).await;
            }
            if path.starts_with(ATTEMPTS_PATH) && request.method() == Method::GET {
                return self.resume(&request).await;
            }
            web::text(StatusCode::NOT_FOUND, "not found\n")
        })
    }
}

fn parse_resume(request: &Request<Incoming>) -> Option<(AttemptRef, u64)> {
    let rest = request
        .uri()
        .path()
        .strip_prefix(ATTEMPTS_PATH)?
        .strip_prefix('/')?;
    let (request_id, attempt) = rest.split_once('/')?;
    let request_id = percent_encoding::percent_decode_str(request_id)
        .decode_utf8()
        .ok()?;
    let offset = request
        .uri()
        .query()?
        .strip_prefix("offset=")?
        .parse()
        .ok()?;
    let attempt = AttemptRef {
        request_id: RequestId::from(&*request_id),
        attempt: attempt.parse().ok()?,
    };
    Some((attempt, offset))
}

fn stream(
    attempt: u32,
    offset: u64,
    frames: mpsc::UnboundedReceiver<Frame>,
) -> Response<ResponseBody> {
    let (sender, body) = channel_body(FRAMES_BUFFERED);
    tokio::spawn(write_frames(attempt, offset, frames, sender));
    Response::new(body)
}

/// Writes frames as they arrive, and a heartbeat after [`HEARTBEAT_INTERVAL_MS`] without one.
///
/// Ends after the final frame or when the connection is closed. Without a final frame the body is
/// broken off.
async fn write_frames(
    attempt: u32,
    offset: u64,
    mut frames: mpsc::UnboundedReceiver<Frame>,
    mut sender: BodySender,
) {
    let mut next_offset = offset;
    loop {
        let waited = timeout(Duration::from_millis(HEARTBEAT_INTERVAL_MS), frames.recv()).await;
        let frame = match waited {
            Ok(Some(frame)) => frame,
            Ok(None) => return,
            Err(_elapsed) => Frame {
                attempt,
                offset: next_offset,
                load: None,
                payload: Payload::Heartbeat,
            },
        };
        if frame.payload.is_content() {
            next_offset = frame.offset + 1;
        }
        let last = frame.payload.is_final();
        let mut line = serde_json::to_vec(&frame).expect("message types serialise to JSON");
        line.push(b'\n');
        if sender.send(Bytes::from(line)).await.is_err() {
            return;
        }
        if last {
            return sender.finish();
        }
    }
}
