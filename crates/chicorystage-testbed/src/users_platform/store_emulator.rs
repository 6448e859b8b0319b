use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use http::{HeaderValue, Method, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::users_platform::StoreMode;
use crate::users_platform::feed_faults::{FeedFault, FeedFaults, feed_table};
use crate::users_platform::local_http::{
    self, ConnectionFault, EmulatorBody, full_response, slow_response,
};

/// Values and versions of rows, by table and key.
type Rows = BTreeMap<(String, String), (Vec<u8>, u64)>;

/// Header that counts how often the store has returned from an older copy.
const ERA_HEADER: &str = "store-era";

/// Copy of the store's rows at one moment.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    rows: Rows,
    version: u64,
}

/// An HTTP emulator of the platform's store: rows, transactions and change feeds.
#[derive(Debug)]
pub struct StoreEmulator {
    /// Loopback address on which the store listens.
    pub address: SocketAddr,
    state: Rc<State>,
}

#[derive(Debug, Default)]
struct State {
    mode: Cell<StoreMode>,
    rows: RefCell<Rows>,
    history: RefCell<Vec<Change>>,
    history_from: Cell<u64>,
    era: Cell<u64>,
    /// Zero of the store's clock.
    started: Started,
    clock_advance_ms: Cell<u64>,
    calls: Cell<u64>,
    version: watch::Sender<u64>,
    /// Number of reads of a whole table, by table.
    reads: RefCell<HashMap<String, u64>>,
    /// Time that the transfer of a response with rows takes, by table, in milliseconds.
    transfer_ms: RefCell<HashMap<String, u64>>,
    /// Number of next transfers that fall silent halfway, by table.
    stalls: RefCell<HashMap<String, u32>>,
    feed_faults: FeedFaults,
}

/// Time at which the store was started.
#[derive(Debug)]
struct Started(Instant);

impl Default for Started {
    fn default() -> Self {
        Self(Instant::now())
    }
}

#[derive(Clone, Debug)]
struct Change {
    version: u64,
    table: String,
    key: String,
    value: Option<Vec<u8>>,
}

impl StoreEmulator {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if no loopback port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let state = Rc::new(State::default());
        let serving = Rc::clone(&state);
        let address = local_http::serve(move |request| {
            let state = Rc::clone(&serving);
            Box::pin(async move { answer(&state, request).await })
        })
        .await?;
        Ok(Self { address, state })
    }

    /// Sets the fault mode for new calls.
    ///
    /// [`Silent`](StoreMode::Silent) and [`LosingResponses`](StoreMode::LosingResponses)
    /// also apply to calls in progress.
    pub fn set_mode(&self, mode: StoreMode) {
        self.state.mode.set(mode);
    }

    /// Drops the change history, so that feeds get status 410 and must read all rows again.
    pub fn forget_history(&self) {
        self.state.history.borrow_mut().clear();
        self.state.history_from.set(*self.state.version.borrow());
    }

    /// Breaks the connections on which a feed of the table waits; new calls are served.
    pub fn reset_feeds(&self, table: &str) {
        self.state.feed_faults.inject(table, FeedFault::Reset);
    }

    /// Never answers the feeds of the table that wait now; new calls are served.
    pub fn silence_feeds(&self, table: &str) {
        self.state.feed_faults.inject(table, FeedFault::Silence);
    }

    /// Spreads the body of each later response that has rows of the table over `time_ms`; its head
    /// comes at once.
    pub fn set_transfer_ms(&self, table: &str, time_ms: u64) {
        let mut transfers = self.state.transfer_ms.borrow_mut();
        transfers.insert(table.to_owned(), time_ms);
    }

    /// Sends only the first half of the next `count` bodies with rows of a table that has a
    /// [transfer time](Self::set_transfer_ms).
    pub fn stall_transfers(&self, table: &str, count: u32) {
        self.state
            .stalls
            .borrow_mut()
            .insert(table.to_owned(), count);
    }

    /// Returns the store's steady clock, in milliseconds.
    #[must_use]
    pub fn clock_ms(&self) -> u64 {
        self.state.clock_ms()
    }

    /// Advances the store's steady clock.
    pub fn advance_clock(&self, time_ms: u64) {
        let advance_ms = &self.state.clock_advance_ms;
        advance_ms.set(advance_ms.get() + time_ms);
    }

    /// Returns a copy of all rows.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        StoreCopy {
            rows: self.state.rows.borrow().clone(),
            version: *self.state.version.borrow(),
        }
    }

    /// Returns to an older copy: later rows are lost and their versions are given out again.
    pub fn restore(&self, copy: StoreCopy) {
        *self.state.rows.borrow_mut() = copy.rows;
        self.state.history.borrow_mut().clear();
        self.state.history_from.set(copy.version);
        self.state.era.set(self.state.era.get() + 1);
        self.state.version.send_replace(copy.version);
    }

    /// Writes a row without a version check, on behalf of an operator or an endpoint.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        self.state.write(table, key, Some(value.to_vec()));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.state.write(table, key, None);
    }

    /// Returns the value of a row; `None` if there is no such row.
    #[must_use]
    pub fn get(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let rows = self.state.rows.borrow();
        let (value, _) = rows.get(&(table.to_owned(), key.to_owned()))?;
        Some(value.clone())
    }

    /// Returns the number of reads of a whole table so far.
    #[must_use]
    pub fn reads(&self, table: &str) -> u64 {
        self.state.reads.borrow().get(table).copied().unwrap_or(0)
    }

    /// Returns the number of calls received so far, answered or not.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.state.calls.get()
    }
}

impl State {
    fn clock_ms(&self) -> u64 {
        let elapsed = self.started.0.elapsed();
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        elapsed_ms + self.clock_advance_ms.get()
    }

    fn write(&self, table: &str, key: &str, value: Option<Vec<u8>>) -> u64 {
        let version = *self.version.borrow() + 1;
        let row_key = (table.to_owned(), key.to_owned());
        match &value {
            Some(value) => {
                self.rows
                    .borrow_mut()
                    .insert(row_key, (value.clone(), version));
            }
            None => {
                self.rows.borrow_mut().remove(&row_key);
            }
        }
        self.history.borrow_mut().push(Change {
            version,
            table: table.to_owned(),
            key: key.to_owned(),
            value,
        });
        self.version.send_replace(version);
        version
    }

    /// Returns the rows of a table with keys from `from`, up to and without `to` unless that is empty.
    fn read(&self, table: &str, from: &str, to: &str) -> Value {
        let rows = self.rows.borrow();
        let rows = rows.iter().filter(|((row_table, key), _)| {
            row_table == table && key.as_str() >= from && (to.is_empty() || key.as_str() < to)
        });
        let rows: Vec<Value> = rows
            .map(|((table, key), (value, version))| {
                row(table, key, Some(value.as_slice()), *version)
            })
            .collect();
        json!({"rows": rows, "has_more": false, "ver": *self.version.borrow(), "now_ms": self.clock_ms()})
    }

    /// Waits up to `wait_ms` for changes after a version.
    ///
    /// Returns `None` if the history no longer reaches back to that version.
    async fn feed(&self, table: &str, after: u64, wait_ms: u64) -> Option<Value> {
        let mut version = self.version.subscribe();
        let changed = async {
            loop {
                if after < self.history_from.get() || after > *self.version.borrow() {
                    return None;
                }
                let rows = self.changes(table, after);
                if !rows.is_empty() {
                    return Some(rows);
                }
                if version.changed().await.is_err() {
                    return None;
                }
            }
        };
        let rows = tokio::time::timeout(Duration::from_millis(wait_ms), changed).await;
        let rows = rows.unwrap_or(Some(Vec::new()))?;
        Some(json!({"rows": rows, "ver": *self.version.borrow(), "now_ms": self.clock_ms()}))
    }

    fn changes(&self, table: &str, after: u64) -> Vec<Value> {
        let history = self.history.borrow();
        let changes = history
            .iter()
            .filter(|change| change.table == table && change.version > after);
        changes
            .map(|change| {
                row(
                    &change.table,
                    &change.key,
                    change.value.as_deref(),
                    change.version,
                )
            })
            .collect()
    }

    /// Returns rows as a response whose body takes the table's transfer time, if it has rows.
    fn response(&self, table: &str, rows: &Value) -> Response<EmulatorBody> {
        let text = rows.to_string();
        let has_rows = rows["rows"].as_array().is_some_and(|rows| !rows.is_empty());
        let transfer_ms = self.transfer_ms.borrow().get(table).copied();
        match transfer_ms {
            Some(transfer_ms) if has_rows => {
                slow_response(text, transfer_ms, self.arriving_share(table))
            }
            _ => full_response(200, text),
        }
    }

    /// Returns the share of the table's next transfer that arrives.
    fn arriving_share(&self, table: &str) -> f64 {
        let mut stalls = self.stalls.borrow_mut();
        match stalls.get_mut(table) {
            Some(left) if *left > 0 => {
                *left -= 1;
                0.5
            }
            _ => 1.0,
        }
    }

    /// Checks the expected versions and then writes all rows; on a mismatch writes nothing.
    fn transact(&self, body: &Value) -> Response<EmulatorBody> {
        let empty = Vec::new();
        let expected = body["expect_rev"].as_array().unwrap_or(&empty);
        for entry in expected {
            let (table, key) = row_key(entry);
            let rows = self.rows.borrow();
            let known = rows.get(&(table.clone(), key.clone()));
            let version = known.map_or(0, |(_, version)| *version);
            if entry["ver"].as_u64() != Some(version) {
                let value = known.map(|(value, _)| value.as_slice());
                let rows = [row(&table, &key, value, version)];
                return full_response(412, json!({"rows": rows}).to_string());
            }
        }
        for entry in body["puts"].as_array().unwrap_or(&empty) {
            let (table, key) = row_key(entry);
            let value = entry["value"].as_str().unwrap_or_default();
            let value = BASE64_STANDARD.decode(value).unwrap_or_default();
            self.write(&table, &key, Some(value));
        }
        let version = *self.version.borrow();
        full_response(
            200,
            json!({"ver": version, "now_ms": self.clock_ms()}).to_string(),
        )
    }
}

fn decode_key(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}

fn row_key(entry: &Value) -> (String, String) {
    let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    (text("table"), text("key"))
}

fn row(table: &str, key: &str, value: Option<&[u8]>, version: u64) -> Value {
    match value {
        Some(value) => json!({
            "table": table, "part": "", "key": key, "ver": version,
            "value": BASE64_STANDARD.encode(value),
        }),
        None => json!({"table": table, "part": "", "key": key, "ver": version, "removed": true}),
    }
}

async fn answer(
    state: &Rc<State>,
    request: Request<Incoming>,
) -> Result<Response<EmulatorBody>, ConnectionFault> {
    state.calls.set(state.calls.get() + 1);
    let feed_table = feed_table(&request);
    match state.mode.get() {
        StoreMode::Busy => return Ok(full_response(503, "")),
        StoreMode::ReadOnly if request.method() == Method::POST => {
            return Ok(full_response(503, ""));
        }
        StoreMode::Silent => std::future::pending().await,
        StoreMode::Serving | StoreMode::ReadOnly | StoreMode::LosingResponses => {}
    }
    let mut response = tokio::select! {
        response = handle_call(state, request) => response,
        fault = state.feed_faults.next(feed_table) => match fault {
            FeedFault::Reset => return Err(ConnectionFault::Injected),
            FeedFault::Silence => std::future::pending().await,
        },
    };
    let era = HeaderValue::from(state.era.get());
    response.headers_mut().insert(ERA_HEADER, era);
    match state.mode.get() {
        StoreMode::Serving | StoreMode::ReadOnly | StoreMode::Busy => Ok(response),
        StoreMode::Silent => std::future::pending().await,
        StoreMode::LosingResponses => Err(ConnectionFault::Injected),
    }
}

async fn handle_call(state: &Rc<State>, request: Request<Incoming>) -> Response<EmulatorBody> {
    let query: HashMap<String, String> = request
        .uri()
        .query()
        .unwrap_or_default()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    let number = |name: &str| query.get(name).and_then(|text| text.parse().ok());
    let table = query.get("table").map_or("", String::as_str).to_owned();
    match request.uri().path() {
        "/rows-get" => {
            let key = |name: &str| query.get(name).map(|text| decode_key(text));
            let (from, to) = (
                key("from").unwrap_or_default(),
                key("to").unwrap_or_default(),
            );
            if from.is_empty() {
                *state.reads.borrow_mut().entry(table.clone()).or_default() += 1;
            }
            state.response(&table, &state.read(&table, &from, &to))
        }
        "/rows-feed" => {
            let (after, wait_ms) = (number("after").unwrap_or(0), number("wait_ms").unwrap_or(0));
            match state.feed(&table, after, wait_ms).await {
                Some(changes) => state.response(&table, &changes),
                None => full_response(410, ""),
            }
        }
        "/rows-tx" => {
            let body = request.into_body().collect().await;
            let body = body
                .map(http_body_util::Collected::to_bytes)
                .unwrap_or_default();
            match serde_json::from_slice(&body) {
                Ok(body) => state.transact(&body),
                Err(_malformed) => full_response(400, ""),
            }
        }
        _ => full_response(404, ""),
    }
}
