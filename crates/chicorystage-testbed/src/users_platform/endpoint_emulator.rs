use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::{Request, Response};
use http_body_util::{BodyExt, Either, StreamBody};
use hyper::body::{Frame, Incoming};
use serde_json::Value;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::users_platform::local_http::{
    self, ConnectionFault, EmulatorBody, Frames, ResponseFuture, full_response,
};
use crate::users_platform::registry_entry::registry_entry;
use crate::users_platform::{EndpointEngine, ReceivedRequest, Reply};

/// An HTTP emulator of an endpoint, with or without a model engine.
#[derive(Debug)]
pub struct EndpointEmulator {
    /// Loopback address on which the endpoint listens.
    pub address: SocketAddr,
    state: Rc<State>,
}

#[derive(Debug)]
struct State {
    id: String,
    script: RefCell<VecDeque<Reply>>,
    default_reply: RefCell<Reply>,
    /// Requests a second that every answer names as the most that the endpoint takes; `None` for none.
    limit_per_s: Cell<Option<f64>>,
    received_requests: RefCell<Vec<ReceivedRequest>>,
    engine: RefCell<Option<EndpointEngine>>,
    /// Number of streams whose connection the client closed before the end.
    cancelled_streams: Cell<u32>,
    /// Whether the endpoint's process runs; while it doesn't, arriving bytes stay unread.
    is_running: watch::Sender<bool>,
}

/// Counts its stream as cancelled when dropped, unless the stream has ended.
#[derive(Debug)]
struct StreamGuard {
    state: Rc<State>,
    has_ended: bool,
}

impl StreamGuard {
    fn mark_ended(&mut self) {
        self.has_ended = true;
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        if !self.has_ended {
            self.state
                .cancelled_streams
                .set(self.state.cancelled_streams.get() + 1);
        }
    }
}

impl EndpointEmulator {
    /// Starts an endpoint that answers every unscripted request with `default_reply`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if no loopback port can be bound.
    pub async fn start(
        id: &str,
        default_reply: Reply,
        engine: Option<EndpointEngine>,
    ) -> std::io::Result<Self> {
        let state = Rc::new(State {
            id: id.to_owned(),
            script: RefCell::default(),
            default_reply: RefCell::new(default_reply),
            limit_per_s: Cell::new(None),
            received_requests: RefCell::default(),
            engine: RefCell::new(engine),
            cancelled_streams: Cell::new(0),
            is_running: watch::Sender::new(true),
        });
        let serving = Rc::clone(&state);
        let handler = move |request| -> ResponseFuture {
            let state = Rc::clone(&serving);
            Box::pin(async move { answer(&state, request).await })
        };
        let address =
            local_http::serve_while_running(handler, state.is_running.subscribe()).await?;
        Ok(Self { address, state })
    }

    /// Returns the identity of the endpoint, which is its key in the registry.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.state.id
    }

    /// Appends a reply to the script; each request uses up one scripted reply.
    pub fn script(&self, reply: Reply) {
        self.state.script.borrow_mut().push_back(reply);
    }

    /// Pauses the endpoint's process, or lets it go on.
    ///
    /// While it is paused its host accepts connections and bytes, which it reads afterwards.
    pub fn set_running(&self, is_running: bool) {
        self.state.is_running.send_replace(is_running);
    }

    /// Sets the reply to later requests that no scripted reply is left for.
    pub fn set_default_reply(&self, reply: Reply) {
        *self.state.default_reply.borrow_mut() = reply;
    }

    /// Sets the limit that later answers name, in requests a second; `None` for none.
    ///
    /// The endpoint answers all requests, also those beyond it.
    pub fn set_limit_per_s(&self, limit_per_s: Option<f64>) {
        self.state.limit_per_s.set(limit_per_s);
    }

    /// Returns all received requests, including refused ones.
    ///
    /// Reads of the load report and orders are left out, as the engine handles them.
    #[must_use]
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.state.received_requests.borrow().clone()
    }

    /// Returns the number of streams whose connection the client closed before the end.
    #[must_use]
    pub fn cancelled_streams(&self) -> u32 {
        self.state.cancelled_streams.get()
    }

    /// Passes the engine to `access`, which may read or change it.
    ///
    /// # Panics
    ///
    /// Panics if the endpoint has no engine.
    pub fn with_engine<T>(&self, access: impl FnOnce(&mut EndpointEngine) -> T) -> T {
        let mut engine = self.state.engine.borrow_mut();
        access(engine.as_mut().expect("the endpoint has an engine"))
    }

    /// Returns the registry entry of the endpoint; `started_ms` is the time of its start.
    #[must_use]
    pub fn registry_entry(&self, service: &str, state: &str, started_ms: u64) -> Value {
        let mut engine = self.state.engine.borrow_mut();
        let models = engine
            .as_mut()
            .map(|engine| engine.report()["models"].clone());
        registry_entry(self.address, service, state, started_ms, models)
    }
}

async fn answer(
    state: &Rc<State>,
    request: Request<Incoming>,
) -> Result<Response<EmulatorBody>, ConnectionFault> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await;
    let body = body
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    if let Some(engine) = state.engine.borrow_mut().as_mut() {
        match parts.uri.path() {
            "/report" => return Ok(full_response(200, engine.report().to_string())),
            "/order" => {
                let order = serde_json::from_slice(&body).unwrap_or_default();
                return Ok(full_response(engine.handle_order(order), ""));
            }
            _ => {}
        }
    }
    let received = ReceivedRequest {
        method: parts.method,
        path: parts
            .uri
            .path_and_query()
            .map_or("/", |path| path.as_str())
            .to_owned(),
        headers: parts.headers,
        arrived: Instant::now(),
        body,
    };
    let is_misdirected = is_misdirected(state, &received);
    let attempt_id = received.header("attempt-id").to_owned();
    state.received_requests.borrow_mut().push(received);
    if is_misdirected {
        return Ok(with_attempt_headers(
            state,
            full_response(421, ""),
            &attempt_id,
        ));
    }
    let scripted = state.script.borrow_mut().pop_front();
    let reply = scripted.unwrap_or_else(|| state.default_reply.borrow().clone());
    let response = match reply {
        Reply::Complete { status, body } => full_response(status, body),
        Reply::Late { delay_ms, body } => {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            full_response(200, body)
        }
        Reply::NotExecuted => {
            let mut response = full_response(503, "");
            response
                .headers_mut()
                .insert("not-executed", http::HeaderValue::from_static("1"));
            response
        }
        Reply::Disconnect => return Err(ConnectionFault::Injected),
        Reply::Silent => {
            let _guard = StreamGuard {
                state: Rc::clone(state),
                has_ended: false,
            };
            std::future::pending().await
        }
        Reply::WrongAttempt => {
            return Ok(with_attempt_headers(
                state,
                full_response(200, "foreign"),
                "another",
            ));
        }
        Reply::Events {
            first,
            last,
            pause_ms,
        } => event_stream(state, first, last, pause_ms, false),
        Reply::BrokenEvents {
            first,
            last,
            pause_ms,
        } => event_stream(state, first, last, pause_ms, true),
    };
    Ok(with_attempt_headers(state, response, &attempt_id))
}

/// Returns whether a request names another endpoint or a model that isn't loaded.
fn is_misdirected(state: &State, received: &ReceivedRequest) -> bool {
    let expected = received.header("expect-instance");
    if !expected.is_empty() && expected != state.id {
        return true;
    }
    let mut engine = state.engine.borrow_mut();
    let model = received.header("model");
    engine
        .as_mut()
        .is_some_and(|engine| !engine.has_loaded(model))
}

/// Adds the headers that identify the attempt and the endpoint.
fn with_attempt_headers(
    state: &State,
    mut response: Response<EmulatorBody>,
    attempt_id: &str,
) -> Response<EmulatorBody> {
    let headers = response.headers_mut();
    if let Ok(id) = http::HeaderValue::from_str(attempt_id) {
        headers.insert("attempt-id", id);
    }
    if let Ok(stamp) = http::HeaderValue::from_str(&format!("stamp-{}", state.id)) {
        headers.insert("response-stamp", stamp);
    }
    let limit = state.limit_per_s.get().map(|per_s| per_s.to_string());
    if let Some(Ok(limit)) = limit.map(|text| http::HeaderValue::from_str(&text)) {
        headers.insert("server-limit", limit);
    }
    response
}

/// Returns an event stream that optionally breaks within the event after `last`.
fn event_stream(
    state: &Rc<State>,
    first: u32,
    last: u32,
    pause_ms: u64,
    is_broken: bool,
) -> Response<EmulatorBody> {
    let mut guard = StreamGuard {
        state: Rc::clone(state),
        has_ended: false,
    };
    let whole_events = stream::iter(first..=last).then(move |number| async move {
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        Ok(Frame::data(Bytes::from(format!(
            "id: {number}\ndata: e{number}\n\n"
        ))))
    });
    let end = stream::iter([0, 1]).filter_map(move |step| {
        guard.mark_ended();
        let item = match (is_broken, step) {
            (true, 0) => Some(Ok(Frame::data(Bytes::from_static(b"id: 99\ndata: ha")))),
            (true, _) => Some(Err(ConnectionFault::Injected)),
            (false, _) => None,
        };
        async move {
            // Lets the partial event be sent before the connection breaks.
            tokio::time::sleep(Duration::from_millis(5)).await;
            item
        }
    });
    let frames: Frames = Box::pin(whole_events.chain(end));
    let mut response = Response::new(Either::Right(StreamBody::new(frames)));
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("text/event-stream"),
    );
    response
}
