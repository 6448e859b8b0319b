//! Workers: streams of events for a model, or a plain answer of a given size.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Head, Server, reply};
use crate::json::parse;
use crate::store::Store;

/// Time of a load from the weight store.
const LOAD: Duration = Duration::from_secs(6);
/// Models of 72,700 MB that fit into the 220,000 MB of a worker.
const MODELS_MAX: usize = 3;

/// What a worker answers.
#[derive(Clone, Copy)]
pub enum Work {
    /// A stream of `events` events, one each `pause_ms`.
    Events { events: u64, pause_ms: u64 },
    /// A stream of `events` events, the first after `first_ms`, the others `pause_ms` apart.
    Model {
        events: u64,
        first_ms: u64,
        pause_ms: u64,
    },
    /// A body of as many bytes as the last part of the path says.
    BytesByPath,
}

pub struct Worker {
    pub id: String,
    pub version: String,
    service: String,
    born_ms: u128,
    server: Server,
    state: Arc<State>,
    has_engine: bool,
}

struct State {
    id: String,
    version: String,
    work: Work,
    leaves: AtomicBool,
    /// How many times as long the work takes.
    slowness: AtomicU64,
    /// Part of a prompt on which the worker crashes.
    crashes_on: Option<String>,
    has_crashed: AtomicBool,
    is_busy: AtomicBool,
    /// Whether the models have changed since the last entry.
    has_changed: AtomicBool,
    /// Orders that were accepted.
    accepted: Mutex<Vec<String>>,
    orders: AtomicU64,
    runs: Mutex<BTreeMap<String, u32>>,
    models: Mutex<Vec<String>>,
}

impl Worker {
    /// Starts a worker; `model` names what a worker with an engine holds.
    pub fn start(
        id: &str,
        version: &str,
        service: &str,
        work: Work,
        model: Option<&str>,
    ) -> std::io::Result<Self> {
        Self::start_crashing(id, version, service, work, model, None)
    }

    /// Starts a worker that crashes when it begins to write an answer on a part of a prompt.
    pub fn start_crashing(
        id: &str,
        version: &str,
        service: &str,
        work: Work,
        model: Option<&str>,
        crashes_on: Option<&str>,
    ) -> std::io::Result<Self> {
        let state = Arc::new(State {
            id: id.to_owned(),
            version: version.to_owned(),
            work,
            leaves: AtomicBool::new(false),
            slowness: AtomicU64::new(1),
            crashes_on: crashes_on.map(str::to_owned),
            has_crashed: AtomicBool::new(false),
            is_busy: AtomicBool::new(false),
            has_changed: AtomicBool::new(false),
            accepted: Mutex::default(),
            orders: AtomicU64::new(0),
            runs: Mutex::default(),
            models: Mutex::new(
                model
                    .unwrap_or_default()
                    .split_whitespace()
                    .map(str::to_owned)
                    .collect(),
            ),
        });
        let serving = Arc::clone(&state);
        let has_engine = model.is_some();
        let server = Server::start(Arc::new(move |head, stream| {
            answer(&serving, has_engine, head, stream)
        }))?;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Ok(Self {
            id: id.to_owned(),
            version: version.to_owned(),
            service: service.to_owned(),
            born_ms: born.as_millis(),
            server,
            state,
            has_engine,
        })
    }

    /// Writes the worker's entry to the store.
    pub fn register(&self, store: &Store, state: &str) {
        let models = if self.has_engine {
            format!(
                r#","stage":"colocated","models":{}"#,
                self.state.models_json()
            )
        } else {
            String::new()
        };
        let entry = format!(
            r#"{{"backend":"{}","addr":"{}","zone":"zone-a","version":"{}","slots":32,"state":"{state}","cold_left_ms":0,"seq":1,"born":{}{models}}}"#,
            self.service, self.server.address, self.version, self.born_ms
        );
        store.put("servers", &self.id, &entry);
    }

    /// Says in all later answers that the worker leaves.
    pub fn leave(&self) {
        self.state.leaves.store(true, Ordering::SeqCst);
    }

    /// Makes all work take so many times as long.
    pub fn slow_down(&self, times: u64) {
        self.state.slowness.store(times, Ordering::SeqCst);
    }

    /// Returns whether the worker holds other models than its last entry says, once for each change.
    pub fn take_change(&self) -> bool {
        self.state.has_changed.swap(false, Ordering::SeqCst)
    }

    /// Orders that the worker has accepted, with what it held then.
    pub fn accepted_orders(&self) -> Vec<String> {
        self.state.accepted.lock().unwrap().clone()
    }

    /// Returns whether a request or an order has crashed the worker; the caller ends it then.
    pub fn has_crashed(&self) -> bool {
        self.state.has_crashed.load(Ordering::SeqCst)
    }

    /// Ends the worker's process.
    pub fn end(&self) {
        self.server.end();
    }

    /// Requests that began to run, by attempt.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.state.runs.lock().unwrap().clone()
    }
}

impl State {
    fn models_json(&self) -> String {
        let models = self.models.lock().unwrap();
        let models: Vec<String> = models
            .iter()
            .map(|model| format!(r#"{{"name":"{model}","version":1,"adapters":[]}}"#))
            .collect();
        format!("[{}]", models.join(","))
    }

    fn headers(&self, head: &Head) -> Vec<(&'static str, String)> {
        let mut headers = vec![
            ("Attempt-Id", head.header("attempt-id").to_owned()),
            (
                "Response-Stamp",
                format!("stamp.{}.{}", self.id, head.header("attempt-id")),
            ),
        ];
        if self.leaves.load(Ordering::SeqCst) {
            headers.push(("Server-Leaving", "1".to_owned()));
        }
        headers
    }
}

fn answer(
    state: &Arc<State>,
    has_engine: bool,
    head: &Head,
    stream: &mut TcpStream,
) -> std::io::Result<bool> {
    let path = head.path.split('?').next().unwrap_or_default();
    let expected = head.header("expect-instance");
    if !expected.is_empty() && expected != state.id {
        return reply(stream, 421, &state.headers(head), b"");
    }
    if path == "/healthz" {
        return reply(stream, 200, &[("Instance-Id", state.id.clone())], b"");
    }
    if has_engine && path == "/report" {
        let body = format!(
            r#"{{"stage":"colocated","models":{},"busy":{},"seq":{},"queued":0,"active":0,"kv_used":0,"kv_total":90000,"handles":0}}"#,
            state.models_json(),
            state.is_busy.load(Ordering::SeqCst),
            state.orders.load(Ordering::SeqCst)
        );
        return reply(
            stream,
            200,
            &[("Content-Type", "application/json".to_owned())],
            body.as_bytes(),
        );
    }
    if has_engine && path == "/order" {
        return order(state, head, stream);
    }
    let model = head.header("model");
    if has_engine
        && !state
            .models
            .lock()
            .unwrap()
            .iter()
            .any(|known| known == model)
    {
        return reply(stream, 421, &state.headers(head), b"");
    }
    let attempt = head.header("attempt-id").to_owned();
    *state.runs.lock().unwrap().entry(attempt).or_default() += 1;
    let crashes = |part: &String| head.header("prompt-prefix").contains(part.as_str());
    if state.crashes_on.as_ref().is_some_and(crashes) {
        state.has_crashed.store(true, Ordering::SeqCst);
        std::thread::sleep(Duration::from_secs(1));
        return Err(std::io::ErrorKind::ConnectionReset.into());
    }
    match state.work {
        Work::BytesByPath => {
            let size = path.rsplit('/').next().and_then(|last| last.parse().ok());
            reply(
                stream,
                200,
                &state.headers(head),
                &vec![b'x'; size.unwrap_or(800)],
            )
        }
        Work::Events { events, pause_ms } => {
            stream_events(state, head, stream, events, pause_ms, pause_ms)
        }
        Work::Model {
            events,
            first_ms,
            pause_ms,
        } => stream_events(state, head, stream, events, first_ms, pause_ms),
    }
}

/// Sends the head at once, then each event when it is made.
fn stream_events(
    state: &State,
    head: &Head,
    stream: &mut TcpStream,
    events: u64,
    first_ms: u64,
    pause_ms: u64,
) -> std::io::Result<bool> {
    let mut text = String::from(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
    );
    for (name, value) in state.headers(head) {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    stream.write_all(text.as_bytes())?;
    let first: u64 = head
        .header("last-event-id")
        .parse()
        .map_or(1, |last: u64| last + 1);
    let mut wait_ms = first_ms;
    for id in first..=events {
        std::thread::sleep(Duration::from_millis(
            wait_ms * state.slowness.load(Ordering::SeqCst),
        ));
        wait_ms = pause_ms;
        let event = format!("id: {id}\ndata: {} {}\n\n", state.version, state.id);
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

/// Carries an order out: an unload at once, a load in [`LOAD`]. A load of more than [`MODELS_MAX`] models
/// crashes the worker.
fn order(state: &Arc<State>, head: &Head, stream: &mut TcpStream) -> std::io::Result<bool> {
    let Some(order) = parse(&head.body) else {
        return reply(stream, 400, &[], b"");
    };
    let (operation, model) = (order.text("operation"), order.text("model"));
    let is_loaded = state.models.lock().unwrap().contains(&model);
    if (operation == "load") == is_loaded {
        return reply(stream, 200, &[], b"");
    }
    let is_expected = order.number("expect_rev") == state.orders.load(Ordering::SeqCst);
    if state.is_busy.load(Ordering::SeqCst) || !is_expected {
        return reply(stream, 409, &[], b"");
    }
    state.orders.fetch_add(1, Ordering::SeqCst);
    let held = state.models.lock().unwrap().clone();
    let line = format!(
        "{operation} {model}, holds {} (holder {}, fence {})",
        held.join(" "),
        order.text("holder"),
        order.number("fence")
    );
    state.accepted.lock().unwrap().push(line);
    if is_loaded {
        state.models.lock().unwrap().retain(|known| *known != model);
        state.has_changed.store(true, Ordering::SeqCst);
        return reply(stream, 202, &[], b"");
    }
    if held.len() + 1 > MODELS_MAX {
        state.has_crashed.store(true, Ordering::SeqCst);
        std::thread::sleep(Duration::from_secs(1));
        return Err(std::io::ErrorKind::ConnectionReset.into());
    }
    state.is_busy.store(true, Ordering::SeqCst);
    let loading = Arc::clone(state);
    std::thread::spawn(move || {
        std::thread::sleep(LOAD);
        loading.models.lock().unwrap().push(model);
        loading.is_busy.store(false, Ordering::SeqCst);
        loading.has_changed.store(true, Ordering::SeqCst);
    });
    reply(stream, 202, &[], b"")
}
