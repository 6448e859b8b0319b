//! Stand-in of a model worker: requests, reports and orders as the protocol page tells them.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::store::Store;
use crate::util::{now_ms, quote, random, read_request, respond, sleep_ms, unix_ms, Json, Request};

/// How often a worker writes its entry, in milliseconds.
pub const HEARTBEAT_MS: u64 = 1_200;
/// Time that an adapter's load takes, in milliseconds.
const ADAPTER_MS: u64 = 7;
/// Time from the beginning of a request that crashes its worker to the crash, in milliseconds.
const CRASH_MS: u64 = 40;
/// Time until a worker that has crashed is back, in milliseconds.
const DOWN_MS: u64 = 2_500;
/// Path of requests that crash each worker that begins to run them.
pub const DEADLY_PATH: &str = "/summary/deadly";

/// What a worker is like.
#[derive(Clone)]
pub struct Kind {
    pub service: String,
    pub zone: String,
    /// Version of the worker's software.
    pub software: String,
    pub slots: usize,
    pub queue: usize,
    pub adapter_slots: usize,
    pub checks_fence: bool,
    pub models: Vec<String>,
    /// Number of models that fit into the worker's memory.
    pub model_places: usize,
    /// Time that a load takes from the weight store and from the worker's own disk.
    pub load_ms: u64,
    pub disk_ms: u64,
    /// Time between two events of a stream.
    pub event_ms: u64,
}

/// An order as it arrived.
#[derive(Clone, Debug)]
pub struct SeenOrder {
    pub at_ms: u64,
    pub holder: String,
    pub fence: u64,
    pub what: String,
    pub status: u16,
}

/// A request that began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub attempt: String,
    pub after_event: u64,
    /// `None` while it runs; whether it ended well.
    pub ended: Option<(u64, bool)>,
}

#[derive(Default)]
struct State {
    models: BTreeMap<String, BTreeSet<String>>,
    /// Adapters on their way, with the time of their arrival.
    coming: Vec<(String, String, u64)>,
    seq: u64,
    beats: u64,
    fence_highest: u64,
    active: usize,
    queued: usize,
    /// Models that were held before; a restart preserves the disk.
    on_disk: BTreeSet<String>,
    /// Load or unload of a model in progress, with its end.
    change: Option<(bool, String, u64)>,
    /// Channels to close at a crash.
    channels: Vec<TcpStream>,
    /// Times of crashes, with the request that ran.
    crashes: Vec<(u64, String)>,
    down_until_ms: u64,
    orders: Vec<SeenOrder>,
    runs: Vec<Run>,
    has_over_limit: bool,
    /// Streams are preempted at this event until that time.
    pause: Option<(u64, u64)>,
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub kind: Kind,
    born: Arc<AtomicU64>,
    state: Arc<Mutex<State>>,
}

impl Worker {
    pub fn start(id: &str, kind: Kind, store: &Store) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let models = kind.models.iter().map(|model| (model.clone(), BTreeSet::new())).collect();
        let on_disk = kind.models.iter().cloned().collect();
        let worker = Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            kind,
            born: Arc::new(AtomicU64::new(unix_ms())),
            state: Arc::new(Mutex::new(State { models, on_disk, ..State::default() })),
        };
        let (listening, entries) = (worker.clone(), store.clone());
        std::thread::spawn(move || listening.listen(listener, &entries));
        worker.beat(store);
        let (beating, store) = (worker.clone(), store.clone());
        std::thread::spawn(move || {
            sleep_ms(random(HEARTBEAT_MS));
            loop {
                beating.beat(&store);
                sleep_ms(HEARTBEAT_MS);
            }
        });
        worker
    }

    /// Accepts channels; after a crash none until the worker is back, which then writes its entry.
    fn listen(&self, mut listener: TcpListener, store: &Store) {
        loop {
            let _ = listener.set_nonblocking(true);
            while now_ms() >= self.state.lock().unwrap().down_until_ms {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(channel) = stream.try_clone() {
                            self.state.lock().unwrap().channels.push(channel);
                        }
                        let worker = self.clone();
                        std::thread::spawn(move || worker.serve(stream));
                    }
                    Err(_) => sleep_ms(1),
                }
            }
            drop(listener);
            let down_until_ms = self.state.lock().unwrap().down_until_ms;
            sleep_ms(down_until_ms.saturating_sub(now_ms()));
            listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => sleep_ms(5),
                }
            };
            self.born.store(unix_ms(), Ordering::Relaxed);
            self.beat(store);
        }
    }

    /// Ends the process: all channels break, and what it held is gone.
    fn crash(&self, attempt: &str, born: u64) {
        let mut state = self.state.lock().unwrap();
        if now_ms() < state.down_until_ms || self.born.load(Ordering::Relaxed) != born {
            return;
        }
        state.down_until_ms = now_ms() + DOWN_MS;
        state.crashes.push((now_ms(), attempt.to_owned()));
        state.models.clear();
        state.coming.clear();
        state.change = None;
        (state.seq, state.fence_highest) = (0, 0);
        for channel in state.channels.drain(..) {
            let _ = channel.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Returns the times of the worker's crashes, with the request that ran.
    pub fn crashes(&self) -> Vec<(u64, String)> {
        self.state.lock().unwrap().crashes.clone()
    }

    fn beat(&self, store: &Store) {
        let mut state = self.state.lock().unwrap();
        if now_ms() < state.down_until_ms {
            return;
        }
        state.beats += 1;
        let entry = format!(
            "{{\"backend\":{},\"addr\":\"{}\",\"zone\":{},\"version\":{},\"slots\":{},\
             \"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"colocated\",\"models\":{},\
             \"seq\":{},\"born\":{}}}",
            quote(&self.kind.service), self.address, quote(&self.kind.zone),
            quote(&self.kind.software), self.kind.slots, models(&mut state), state.beats, self.born.load(Ordering::Relaxed)
        );
        drop(state);
        store.put("servers", &self.id, Some(&entry));
    }

    pub fn orders(&self) -> Vec<SeenOrder> {
        self.state.lock().unwrap().orders.clone()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Preempts streams after event `event` until `until_ms`.
    pub fn preempt(&self, event: u64, until_ms: u64) {
        self.state.lock().unwrap().pause = Some((event, until_ms));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let expected = request.header("expect-instance");
            if expected.is_some_and(|id| id != self.id) {
                if self.refuse(&mut out, &request, 421).is_err() {
                    return;
                }
                continue;
            }
            let json = [("Content-Type", "application/json")];
            let done = match (request.method.as_str(), request.path()) {
                ("GET", "/report") => respond(&mut out, 200, &json, self.report().as_bytes()),
                ("GET", "/healthz") => {
                    respond(&mut out, 200, &[("Instance-Id", self.id.as_str())], b"")
                }
                ("POST", "/order") => {
                    let status = self.order(&String::from_utf8_lossy(&request.body));
                    respond(&mut out, status, &json, b"{}")
                }
                _ => self.run(&mut out, &request),
            };
            if done.is_err() {
                return;
            }
        }
    }

    fn report(&self) -> String {
        let mut state = self.state.lock().unwrap();
        let listed = models(&mut state);
        let coming: Vec<String> =
            state.coming.iter().map(|(m, a, _)| quote(&format!("{m}/{a}@1"))).collect();
        let on_disk: Vec<String> = state.on_disk.iter().map(|model| quote(model)).collect();
        format!(
            "{{\"stage\":\"colocated\",\"models\":{listed},\"busy\":{},\"seq\":{},\"queued\":{},\
             \"active\":{},\"kv_used\":0,\"kv_total\":74923,\"handles\":0,\"coming\":[{}],\
             \"at_hand\":{{\"in_memory\":[],\"on_disk\":[{}]}},\"born\":{}}}",
            state.change.is_some(), state.seq, state.queued, state.active, coming.join(","), on_disk.join(","), self.born.load(Ordering::Relaxed)
        )
    }

    fn order(&self, body: &str) -> u16 {
        let order = Json::parse(body).unwrap_or(Json::Null);
        let text = |name: &str| order.get(name).text().to_owned();
        let (operation, model, adapter) = (text("operation"), text("model"), text("adapter"));
        let (holder, fence) = (text("holder"), order.get("fence").number());
        let mut state = self.state.lock().unwrap();
        arrive(&mut state);
        let status = match fence {
            None => 400,
            Some(_) if holder.is_empty() => 400,
            Some(fence) if self.kind.checks_fence && fence < state.fence_highest => 412,
            _ if order.get("expect_rev").number().is_some_and(|rev| rev != state.seq) => 409,
            _ => self.carry_out(&mut state, &operation, &model, &adapter),
        };
        let fence = fence.unwrap_or(0);
        state.fence_highest = state.fence_highest.max(fence);
        let what = format!("{operation} {model}/{adapter}");
        state.orders.push(SeenOrder { at_ms: now_ms(), holder, fence, what, status });
        status
    }

    fn carry_out(&self, state: &mut State, operation: &str, model: &str, adapter: &str) -> u16 {
        if adapter.is_empty() {
            let is_load = operation == "load";
            if is_load == state.models.contains_key(model) {
                return 200;
            }
            if state.change.is_some() {
                return 409;
            }
            state.seq += 1;
            state.has_over_limit |= is_load && state.models.len() >= self.kind.model_places;
            if !is_load {
                state.models.remove(model);
            }
            let change_ms = match (is_load, state.on_disk.contains(model)) {
                (true, true) => self.kind.disk_ms,
                (true, false) => self.kind.load_ms,
                (false, _) => 50,
            };
            state.change = Some((is_load, model.to_owned(), now_ms() + change_ms));
            return 202;
        }
        let Some(adapters) = state.models.get_mut(model) else { return 421 };
        if operation == "unload" {
            let was_loaded = adapters.remove(adapter);
            state.seq += u64::from(was_loaded);
            return 200;
        }
        let is_coming = state.coming.iter().any(|(m, a, _)| m == model && a == adapter);
        if adapters.contains(adapter) || is_coming {
            return 200;
        }
        let held: usize = state.models.values().map(BTreeSet::len).sum();
        state.has_over_limit |= held + state.coming.len() >= self.kind.adapter_slots;
        state.coming.push((model.to_owned(), adapter.to_owned(), now_ms() + ADAPTER_MS));
        state.seq += 1;
        202
    }

    fn refuse(
        &self,
        out: &mut TcpStream,
        request: &Request,
        status: u16,
    ) -> std::io::Result<()> {
        let attempt = request.header("attempt-id").unwrap_or("");
        let headers =
            [("Attempt-Id", attempt), ("Not-Executed", "1"), ("Instance-Id", self.id.as_str())];
        respond(out, status, &headers, b"")
    }

    fn run(&self, out: &mut TcpStream, request: &Request) -> std::io::Result<()> {
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        if attempt.is_empty() {
            return self.refuse(out, request, 400);
        }
        let named = request.header("model").unwrap_or("");
        let (model, adapter) = named.split_once('/').unwrap_or((named, ""));
        {
            let mut state = self.state.lock().unwrap();
            arrive(&mut state);
            let loaded = state.models.get(model);
            if !loaded.is_some_and(|held| adapter.is_empty() || held.contains(adapter)) {
                drop(state);
                return self.refuse(out, request, 421);
            }
            if state.active + state.queued >= self.kind.slots + self.kind.queue {
                drop(state);
                return self.refuse(out, request, 503);
            }
            state.queued += 1;
        }
        loop {
            let mut state = self.state.lock().unwrap();
            if state.active < self.kind.slots {
                state.queued -= 1;
                state.active += 1;
                break;
            }
            drop(state);
            if has_left(out) {
                self.state.lock().unwrap().queued -= 1;
                return Err(std::io::ErrorKind::BrokenPipe.into());
            }
            sleep_ms(5);
        }
        let after = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let index = {
            let mut state = self.state.lock().unwrap();
            let run = Run { at_ms: now_ms(), attempt: attempt.clone(), after_event: after, ended: None };
            state.runs.push(run);
            state.runs.len() - 1
        };
        let counts = request.header("token-counts").and_then(|counts| counts.split_once(','));
        let events = counts.and_then(|(_, tokens)| tokens.parse().ok()).unwrap_or(1);
        if request.path().starts_with(DEADLY_PATH) {
            let born = self.born.load(Ordering::Relaxed);
            sleep_ms(CRASH_MS);
            self.crash(&attempt, born);
        }
        let done = self.stream(out, &attempt, after, events);
        let mut state = self.state.lock().unwrap();
        state.active = state.active.saturating_sub(1);
        state.runs[index].ended = Some((now_ms(), done.is_ok()));
        done
    }

    /// Sends the events after `after`; an event holds one token.
    fn stream(
        &self,
        out: &mut TcpStream,
        attempt: &str,
        after: u64,
        events: u64,
    ) -> std::io::Result<()> {
        sleep_ms(20);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Stamp: {}.{attempt}\r\n\
             Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        out.write_all(head.as_bytes())?;
        for event in after + 1..=events {
            let text = format!("id: {event}\ndata: {} {attempt} {event}\n\n", self.kind.software);
            out.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            sleep_ms(self.kind.event_ms);
            loop {
                if has_left(out) {
                    return Err(std::io::ErrorKind::BrokenPipe.into());
                }
                let pause = self.state.lock().unwrap().pause;
                if !pause.is_some_and(|(at, until)| event >= at && now_ms() < until) {
                    break;
                }
                sleep_ms(10);
            }
        }
        out.write_all(b"0\r\n\r\n")
    }
}

/// Makes models and adapters usable whose load time has passed.
fn arrive(state: &mut State) {
    if state.change.as_ref().is_some_and(|(_, _, end_ms)| now_ms() >= *end_ms)
        && let Some((true, model, _)) = state.change.take()
    {
        state.on_disk.insert(model.clone());
        state.models.insert(model, BTreeSet::new());
    }
    for (model, adapter, at_ms) in std::mem::take(&mut state.coming) {
        if now_ms() < at_ms {
            state.coming.push((model, adapter, at_ms));
        } else if let Some(held) = state.models.get_mut(&model) {
            held.insert(adapter);
        }
    }
}

fn models(state: &mut State) -> String {
    arrive(state);
    let listed = state.models.iter().map(|(model, adapters)| {
        let adapters: Vec<String> = adapters.iter().map(|adapter| quote(adapter)).collect();
        format!("{{\"name\":{},\"version\":1,\"adapters\":[{}]}}", quote(model), adapters.join(","))
    });
    format!("[{}]", listed.collect::<Vec<_>>().join(","))
}

/// Returns whether the caller has closed its channel.
fn has_left(out: &TcpStream) -> bool {
    let _ = out.set_read_timeout(Some(Duration::from_millis(1)));
    let mut byte = [0; 1];
    let peeked = out.peek(&mut byte);
    let _ = out.set_read_timeout(None);
    match peeked {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => !matches!(
            error.kind(),
            std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
        ),
    }
}
