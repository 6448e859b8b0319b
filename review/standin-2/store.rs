//! Stand-in of the platform's store: rows, transactions, feeds, and the drill of the news pages.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::util::{from_base64, now_ms, quote, read_request, respond, sleep_ms, to_base64, Json};

type Rows = BTreeMap<(String, String), (Vec<u8>, u64)>;
type Change = (u64, String, String, Option<Vec<u8>>);

#[derive(Default)]
struct State {
    rows: Rows,
    history: Vec<Change>,
    history_from: u64,
    version: u64,
    era: u64,
    is_away: bool,
    /// Copies of the rows with their time, oldest first.
    copies: Vec<(u64, Rows, u64)>,
}

/// A call that waits notices a change of this number.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State { era: 1, ..State::default() };
        let store = Self {
            address: listener.local_addr().unwrap(),
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        let copying = store.clone();
        std::thread::spawn(move || loop {
            copying.copy();
            sleep_ms(25);
        });
        store
    }

    fn copy(&self) {
        let mut state = self.shared.0.lock().unwrap();
        let copy = (now_ms(), state.rows.clone(), state.version);
        state.copies.push(copy);
        if state.copies.len() > 400 {
            state.copies.remove(0);
        }
    }

    /// Writes or removes a row without a condition, as the operator and the workers do.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) -> bool {
        let mut state = self.shared.0.lock().unwrap();
        if state.is_away {
            return false;
        }
        write(&mut state, table, key, value.map(|value| value.as_bytes().to_vec()));
        self.shared.1.notify_all();
        true
    }

    /// Breaks all channels with calls, and answers none until the store returns.
    pub fn go_away(&self) {
        self.shared.0.lock().unwrap().is_away = true;
        self.shared.1.notify_all();
    }

    /// Returns from the newest copy that is at least `age_ms` old; returns that copy's age.
    pub fn return_from_copy(&self, age_ms: u64) -> u64 {
        let mut state = self.shared.0.lock().unwrap();
        let until = now_ms().saturating_sub(age_ms);
        let copy = state.copies.iter().rev().find(|(at, _, _)| *at <= until).cloned();
        let (at, rows, version) = copy.expect("a copy of that age");
        state.rows = rows;
        state.version = version;
        state.history.clear();
        state.history_from = version;
        state.era += 1;
        state.is_away = false;
        self.shared.1.notify_all();
        now_ms() - at
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let query = |name: &str| request.query(name).unwrap_or_default();
            let answer = match request.path() {
                "/rows-get" => {
                    sleep_ms(2);
                    self.read(&query("table"), &query("from"), &query("to"))
                }
                "/rows-feed" => {
                    let after = query("after").parse().unwrap_or(0);
                    let wait_ms = query("wait_ms").parse().unwrap_or(0);
                    self.feed(&query("table"), after, wait_ms)
                }
                "/rows-tx" => {
                    sleep_ms(4);
                    self.transact(&String::from_utf8_lossy(&request.body))
                }
                _ => Some((404, String::new(), 0)),
            };
            // While the store is away, channels break without an answer.
            let Some((status, body, era)) = answer else { return };
            let headers = [("Content-Type", "application/json"), ("Store-Era", &era.to_string())];
            if respond(&mut out, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn read(&self, table: &str, from: &str, to: &str) -> Option<(u16, String, u64)> {
        let state = self.shared.0.lock().unwrap();
        if state.is_away {
            return None;
        }
        let rows = state.rows.iter().filter(|((row_table, key), _)| {
            row_table == table && key.as_str() >= from && (to.is_empty() || key.as_str() < to)
        });
        let rows: Vec<String> =
            rows.map(|((t, k), (value, ver))| row(t, k, Some(value), *ver)).collect();
        let body = format!(
            "{{\"rows\":[{}],\"has_more\":false,\"ver\":{},\"now_ms\":{}}}",
            rows.join(","), state.version, now_ms()
        );
        Some((200, body, state.era))
    }

    fn feed(&self, table: &str, after: u64, wait_ms: u64) -> Option<(u16, String, u64)> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.shared.0.lock().unwrap();
        loop {
            if state.is_away {
                return None;
            }
            if after < state.history_from || after > state.version {
                return Some((410, String::new(), state.era));
            }
            let changes = state.history.iter().filter(|c| c.1 == table && c.0 > after);
            let rows: Vec<String> =
                changes.map(|(ver, t, k, value)| row(t, k, value.as_deref(), *ver)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                    rows.join(","), state.version, now_ms()
                );
                return Some((200, body, state.era));
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> Option<(u16, String, u64)> {
        let mut state = self.shared.0.lock().unwrap();
        if state.is_away {
            return None;
        }
        let Some(body) = Json::parse(body) else { return Some((400, String::new(), state.era)) };
        let name = |entry: &Json| {
            (entry.get("table").text().to_owned(), entry.get("key").text().to_owned())
        };
        for entry in body.get("expect_rev").list() {
            let (table, key) = name(entry);
            let known = state.rows.get(&(table.clone(), key.clone()));
            let version = known.map_or(0, |(_, version)| *version);
            if entry.get("ver").number() != Some(version) {
                let rows = known.map(|(value, ver)| row(&table, &key, Some(value), *ver));
                let body = format!("{{\"rows\":[{}]}}", rows.unwrap_or_default());
                return Some((412, body, state.era));
            }
        }
        let puts = body.get("puts").list();
        if puts.iter().any(|entry| ["op", "servers"].contains(&entry.get("table").text())) {
            return Some((403, String::new(), state.era));
        }
        for entry in puts {
            let (table, key) = name(entry);
            write(&mut state, &table, &key, Some(from_base64(entry.get("value").text())));
        }
        for entry in body.get("remove").list() {
            let (table, key) = name(entry);
            write(&mut state, &table, &key, None);
        }
        self.shared.1.notify_all();
        let body = format!("{{\"ver\":{},\"now_ms\":{}}}", state.version, now_ms());
        Some((200, body, state.era))
    }
}

fn write(state: &mut State, table: &str, key: &str, value: Option<Vec<u8>>) {
    state.version += 1;
    let version = state.version;
    let name = (table.to_owned(), key.to_owned());
    match &value {
        Some(value) => drop(state.rows.insert(name, (value.clone(), version))),
        None => drop(state.rows.remove(&name)),
    }
    state.history.push((version, table.to_owned(), key.to_owned(), value));
}

fn row(table: &str, key: &str, value: Option<&[u8]>, version: u64) -> String {
    let value = value.map_or("\"removed\":true".to_owned(), |value| {
        format!("\"value\":\"{}\"", to_base64(value))
    });
    format!(
        "{{\"table\":{},\"part\":\"\",\"key\":{},\"ver\":{version},{value}}}",
        quote(table), quote(key)
    )
}

impl Store {
    /// Returns value and version of the row with this key in any table of the system's own.
    pub fn find(&self, key: &str) -> Option<(String, u64)> {
        let state = self.shared.0.lock().unwrap();
        let row = state.rows.iter().find(|((_, row_key), _)| row_key == key);
        row.map(|(_, (value, version))| (String::from_utf8_lossy(value).into_owned(), *version))
    }
}
