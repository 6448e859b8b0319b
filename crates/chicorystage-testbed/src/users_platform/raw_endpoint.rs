use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::users_platform::EndpointEngine;
use crate::users_platform::raw_reply::{ATTEMPT_PLACEHOLDER, ConnectionEnd, RawReply};
use crate::users_platform::registry_entry::registry_entry;

/// Time from the arrival of a request to the crash that it causes, in milliseconds.
const CRASH_DELAY_MS: u64 = 20;
/// Bytes that end a request's head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// What an endpoint that crashes has written of the answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BeforeCrash {
    /// Nothing.
    Nothing,
    /// Its head.
    #[default]
    Head,
    /// Its head and its first event.
    FirstEvent,
}

/// An emulator of an endpoint with a model engine that answers with bytes of the test's choice.
///
/// Unlike [`EndpointEmulator`](super::EndpointEmulator), it can send what an HTTP library would
/// not. Reports and orders are answered properly unless a test sets other bytes for them.
#[derive(Debug)]
pub struct RawEndpoint {
    /// Loopback address on which the endpoint listens.
    pub address: SocketAddr,
    state: Rc<State>,
}

#[derive(Debug)]
struct State {
    id: String,
    script: RefCell<VecDeque<RawReply>>,
    /// Answer to every request for which no scripted reply is left.
    default_reply: RawReply,
    /// Answer to reads of the load report; `None` for a proper one.
    report_reply: RefCell<Option<RawReply>>,
    engine: RefCell<EndpointEngine>,
    /// Part of a prompt on which the endpoint crashes; `None` for none.
    crashing_part: RefCell<Option<String>>,
    /// What is written before such a crash.
    before_crash: RefCell<BeforeCrash>,
    received_heads: RefCell<Vec<String>>,
    /// Whether a refusal is written once more in place of the next answer on its connection.
    repeats_refusals: Cell<bool>,
    /// Attempts that were run.
    runs: RefCell<Vec<String>>,
    /// Whether the endpoint's process still accepts connections.
    is_listening: watch::Sender<bool>,
    /// Bytes that endless replies have sent.
    repeated_bytes: Cell<u64>,
    /// Number of endless replies that were begun.
    repeats_begun: Cell<u64>,
    /// Number of endless replies that are still being sent.
    repeating: Cell<u32>,
}

impl RawEndpoint {
    /// Starts an endpoint that answers every unscripted request with `default_reply`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if no loopback port can be bound.
    pub async fn start(
        id: &str,
        default_reply: RawReply,
        engine: EndpointEngine,
    ) -> std::io::Result<Self> {
        let state = Rc::new(State {
            id: id.to_owned(),
            script: RefCell::default(),
            default_reply,
            report_reply: RefCell::default(),
            engine: RefCell::new(engine),
            crashing_part: RefCell::default(),
            before_crash: RefCell::default(),
            received_heads: RefCell::default(),
            repeats_refusals: Cell::new(false),
            runs: RefCell::default(),
            is_listening: watch::Sender::new(true),
            repeated_bytes: Cell::new(0),
            repeats_begun: Cell::new(0),
            repeating: Cell::new(0),
        });
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let serving = Rc::clone(&state);
        tokio::task::spawn_local(accept_while_listening(listener, serving));
        Ok(Self { address, state })
    }

    /// Returns the identity of the endpoint, which is its key in the registry.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.state.id
    }

    /// Appends a reply to the script; each request uses up one scripted reply.
    pub fn script(&self, reply: RawReply) {
        self.state.script.borrow_mut().push_back(reply);
    }

    /// Sets the answer to reads of the load report; `None` for a proper one.
    pub fn set_report_reply(&self, reply: Option<RawReply>) {
        *self.state.report_reply.borrow_mut() = reply;
    }

    /// Makes the endpoint crash as soon as it begins to answer a request whose prompt has this part.
    pub fn crash_on_prompt_part(&self, part: &str) {
        *self.state.crashing_part.borrow_mut() = Some(part.to_owned());
    }

    /// Sets what is written before such a crash; it is the head of an answer otherwise.
    pub fn write_before_crash(&self, written: BeforeCrash) {
        *self.state.before_crash.borrow_mut() = written;
    }

    /// Returns whether the endpoint has crashed.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        !*self.state.is_listening.borrow()
    }

    /// Returns the heads of the requests received so far, without reports and orders.
    #[must_use]
    pub fn received_heads(&self) -> Vec<String> {
        self.state.received_heads.borrow().clone()
    }

    /// Makes the endpoint run the request after a refused one on its connection and write the refusal
    /// once more before the answer.
    pub fn repeat_refusals(&self) {
        self.state.repeats_refusals.set(true);
    }

    /// Returns how often an attempt was run.
    #[must_use]
    pub fn runs(&self, attempt: &str) -> usize {
        let runs = self.state.runs.borrow();
        runs.iter().filter(|run| *run == attempt).count()
    }

    /// Returns how many bytes endless replies have sent.
    #[must_use]
    pub fn repeated_bytes(&self) -> u64 {
        self.state.repeated_bytes.get()
    }

    /// Returns how many endless replies were begun.
    #[must_use]
    pub fn repeats_begun(&self) -> u64 {
        self.state.repeats_begun.get()
    }

    /// Returns the number of endless replies whose connection is still open.
    #[must_use]
    pub fn repeating(&self) -> u32 {
        self.state.repeating.get()
    }

    /// Returns the registry entry of the endpoint.
    #[must_use]
    pub fn registry_entry(&self, service: &str) -> Value {
        let models = self.state.engine.borrow_mut().report()["models"].clone();
        registry_entry(self.address, service, "ready", 1, Some(models))
    }
}

/// Serves each connection in a task of its own until the endpoint crashes.
async fn accept_while_listening(listener: TcpListener, state: Rc<State>) {
    let mut is_listening = state.is_listening.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _crashed = is_listening.wait_for(|is_listening| !is_listening) => return,
        };
        let Ok((stream, _peer)) = accepted else {
            return;
        };
        let state = Rc::clone(&state);
        let mut is_alive = is_listening.clone();
        tokio::task::spawn_local(async move {
            // The client observes a broken connection as well.
            tokio::select! {
                _ended = serve(&state, stream) => {}
                _crashed = is_alive.wait_for(|is_alive| !is_alive) => {}
            }
        });
    }
}

/// Reads requests and answers each until a reply or the client ends the connection.
async fn serve(state: &Rc<State>, mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut received = BytesMut::new();
    let mut last_refusal: Option<String> = None;
    loop {
        let Some(head) = read_request(&mut stream, &mut received).await? else {
            return Ok(());
        };
        if let Some(refusal) = last_refusal.take() {
            stream.write_all(refusal.as_bytes()).await?;
        }
        let reply = reply_to(state, &head);
        if reply.end == ConnectionEnd::Crash {
            tokio::time::sleep(Duration::from_millis(CRASH_DELAY_MS)).await;
        }
        let sent = reply
            .bytes
            .replace(ATTEMPT_PLACEHOLDER, header(&head, "attempt-id"));
        stream.write_all(sent.as_bytes()).await?;
        if is_refusal(&sent) {
            last_refusal = state.repeats_refusals.get().then_some(sent);
        } else {
            let attempt = header(&head, "attempt-id").to_owned();
            state.runs.borrow_mut().push(attempt);
        }
        match reply.end {
            ConnectionEnd::Close => return stream.shutdown().await,
            ConnectionEnd::Crash => {
                state.is_listening.send_replace(false);
                return stream.shutdown().await;
            }
            ConnectionEnd::Reset => return reset(&stream),
            ConnectionEnd::Silence => {}
            ConnectionEnd::Repeat { bytes, pause_ms } => {
                state.repeats_begun.set(state.repeats_begun.get() + 1);
                state.repeating.set(state.repeating.get() + 1);
                let ended = repeat(state, &mut stream, &bytes, pause_ms).await;
                state.repeating.set(state.repeating.get() - 1);
                return ended;
            }
        }
    }
}

/// Returns the next request's head after reading its body too; `None` once the client has closed.
async fn read_request(
    stream: &mut TcpStream,
    received: &mut BytesMut,
) -> std::io::Result<Option<String>> {
    loop {
        let head_end = received
            .windows(HEAD_END.len())
            .position(|window| window == HEAD_END);
        if let Some(at) = head_end {
            let head_bytes = at + HEAD_END.len();
            let head = String::from_utf8_lossy(&received[..head_bytes]).into_owned();
            let body_bytes: usize = header(&head, "content-length").parse().unwrap_or(0);
            if received.len() >= head_bytes + body_bytes {
                drop(received.split_to(head_bytes + body_bytes));
                return Ok(Some(head));
            }
        }
        if stream.read_buf(received).await? == 0 {
            return Ok(None);
        }
    }
}

fn reply_to(state: &State, head: &str) -> RawReply {
    let path = head.split(' ').nth(1).unwrap_or_default();
    match path {
        "/report" => state.report_reply.borrow().clone().unwrap_or_else(|| {
            let report = state.engine.borrow_mut().report().to_string();
            proper_reply(&report)
        }),
        // Orders change nothing, so that what is loaded stays as the test set it.
        "/order" => proper_reply(""),
        _ => {
            state.received_heads.borrow_mut().push(head.to_owned());
            if has_crashing_part(state, head) {
                return crash(*state.before_crash.borrow());
            }
            let scripted = state.script.borrow_mut().pop_front();
            scripted.unwrap_or_else(|| state.default_reply.clone())
        }
    }
}

/// Returns a reply that crashes the endpoint.
fn crash(written: BeforeCrash) -> RawReply {
    let events = |body| RawReply::close_delimited_events(body, ConnectionEnd::Crash);
    match written {
        BeforeCrash::Nothing => RawReply {
            bytes: String::new(),
            end: ConnectionEnd::Crash,
        },
        BeforeCrash::Head => events(""),
        BeforeCrash::FirstEvent => events("id: 1\ndata: e1\n\n"),
    }
}

/// Returns whether an answer says that the request was not run.
fn is_refusal(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 421 ") || answer.contains("\r\nNot-Executed: 1\r\n")
}

/// Returns whether the request's prompt has the part on which the endpoint crashes.
fn has_crashing_part(state: &State, head: &str) -> bool {
    let crashing = state.crashing_part.borrow();
    let parts = header(head, "prompt-prefix").split(',');
    let mut ids = parts.filter_map(|part| part.split(':').next());
    ids.any(|id| crashing.as_deref() == Some(id))
}

fn proper_reply(body: &str) -> RawReply {
    let length = format!("Content-Length: {}", body.len());
    RawReply::new("200 OK", &[&length], body, ConnectionEnd::Silence)
}

/// Sends bytes again and again until the client closes.
async fn repeat(
    state: &State,
    stream: &mut TcpStream,
    bytes: &Bytes,
    pause_ms: u64,
) -> std::io::Result<()> {
    loop {
        if pause_ms > 0 {
            let pause = Duration::from_millis(pause_ms);
            let mut unexpected = [0; 64];
            // A client sends nothing before its answer has ended, so that a read ends at its close.
            if let Ok(read) = tokio::time::timeout(pause, stream.read(&mut unexpected)).await {
                return read.map(drop);
            }
        }
        stream.write_all(bytes).await?;
        let sent_bytes = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
        state
            .repeated_bytes
            .set(state.repeated_bytes.get() + sent_bytes);
        tokio::task::yield_now().await;
    }
}

/// Closes the connection with a reset as soon as the stream is dropped.
fn reset(stream: &TcpStream) -> std::io::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Returns a header's value; empty if the head has none of that name.
fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut values = lines.filter(|(found, _)| found.eq_ignore_ascii_case(name));
    values
        .next()
        .map(|(_, value)| value.trim())
        .unwrap_or_default()
}
