//! The platform's store: rows, conditional transactions and feeds, as PROTOCOL.md tells them.
//!
//! Each gateway has an address of its own at which it reaches the one store, so that the store can
//! turn single machines away.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Head, Server, reply};
use crate::json::{Json, parse};

type Key = (String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (String, u64)>,
    history: Vec<(u64, Key, Option<String>)>,
    version: u64,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<Rows>, Condvar)>,
}

/// The store as one machine reaches it.
pub struct Door {
    pub address: SocketAddr,
    turned_away: Arc<Mutex<bool>>,
    refused: Arc<Mutex<u64>>,
    _server: Server,
}

impl Door {
    /// Lets the store answer 503 to this machine, or serve it again.
    pub fn turn_away(&self, is_turned_away: bool) {
        *self.turned_away.lock().unwrap() = is_turned_away;
    }

    pub fn refused(&self) -> u64 {
        *self.refused.lock().unwrap()
    }
}

impl Store {
    pub fn door(&self) -> std::io::Result<Door> {
        let turned_away = Arc::new(Mutex::new(false));
        let refused = Arc::new(Mutex::new(0));
        let (store, away, count) = (self.clone(), Arc::clone(&turned_away), Arc::clone(&refused));
        let server = Server::start(Arc::new(move |head, stream| {
            if *away.lock().unwrap() {
                *count.lock().unwrap() += 1;
                return reply(stream, 503, &[era()], b"");
            }
            store.answer(head, stream, &away)
        }))?;
        Ok(Door {
            address: server.address,
            turned_away,
            refused,
            _server: server,
        })
    }

    /// Writes a row on behalf of the operator or a worker; its return is the store's ack.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(
            &mut self.shared.0.lock().unwrap(),
            table,
            key,
            Some(base64(value.as_bytes())),
        );
        self.shared.1.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.write(&mut self.shared.0.lock().unwrap(), table, key, None);
        self.shared.1.notify_all();
    }

    pub fn keys(&self, table: &str) -> Vec<String> {
        let rows = self.shared.0.lock().unwrap();
        let keys = rows.rows.keys().filter(|(row_table, _)| row_table == table);
        keys.map(|(_, key)| key.clone()).collect()
    }

    fn write(&self, rows: &mut Rows, table: &str, key: &str, value: Option<String>) {
        rows.version += 1;
        let (version, key) = (rows.version, (table.to_owned(), key.to_owned()));
        match &value {
            Some(value) => {
                rows.rows.insert(key.clone(), (value.clone(), version));
            }
            None => {
                rows.rows.remove(&key);
            }
        }
        rows.history.push((version, key, value));
    }

    fn answer(
        &self,
        head: &Head,
        stream: &mut TcpStream,
        away: &Mutex<bool>,
    ) -> std::io::Result<bool> {
        std::thread::sleep(Duration::from_millis(3));
        let table = head.query("table");
        let path = head.path.split('?').next().unwrap_or_default();
        let (status, body) = match path {
            "/rows-get" => (200, self.read(&table)),
            "/rows-feed" => {
                let number = |name: &str| head.query(name).parse().unwrap_or(0);
                let body = self.feed(&table, number("after"), number("wait_ms"), away);
                match body {
                    Some(body) => (200, body),
                    None => (503, String::new()),
                }
            }
            "/rows-tx" => {
                parse(&head.body).map_or((400, String::new()), |body| self.transact(&body))
            }
            _ => (404, String::new()),
        };
        reply(stream, status, &[era(), json_type()], body.as_bytes())
    }

    fn read(&self, table: &str) -> String {
        let rows = self.shared.0.lock().unwrap();
        let of_table = rows
            .rows
            .iter()
            .filter(|((row_table, _), _)| row_table == table);
        let listed: Vec<String> = of_table
            .map(|(key, (value, version))| row(key, Some(value), *version))
            .collect();
        let (listed, version) = (listed.join(","), rows.version);
        format!(
            r#"{{"rows":[{listed}],"has_more":false,"ver":{version},"now_ms":{}}}"#,
            now_ms()
        )
    }

    /// Waits for changes; `None` if the machine is turned away meanwhile.
    fn feed(&self, table: &str, after: u64, wait_ms: u64, away: &Mutex<bool>) -> Option<String> {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut rows = self.shared.0.lock().unwrap();
        loop {
            if *away.lock().unwrap() {
                return None;
            }
            let changes = rows.history.iter();
            let changes = changes.filter(|(version, key, _)| *version > after && key.0 == table);
            let listed: Vec<String> = changes
                .map(|(version, key, value)| row(key, value.as_deref(), *version))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !listed.is_empty() || left.is_zero() {
                let (listed, version) = (listed.join(","), rows.version);
                return Some(format!(
                    r#"{{"rows":[{listed}],"ver":{version},"now_ms":{}}}"#,
                    now_ms()
                ));
            }
            let wait = left.min(Duration::from_millis(20));
            rows = self.shared.1.wait_timeout(rows, wait).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut rows = self.shared.0.lock().unwrap();
        for expected in body.list("expect_rev") {
            let key = (expected.text("table"), expected.text("key"));
            let known = rows.rows.get(&key).cloned();
            let version = known.as_ref().map_or(0, |(_, version)| *version);
            if version != expected.number("ver") {
                let current = row(
                    &key,
                    known.as_ref().map(|(value, _)| value.as_str()),
                    version,
                );
                return (412, format!(r#"{{"rows":[{current}]}}"#));
            }
        }
        let entries = body.list("puts").iter().chain(body.list("remove"));
        if entries
            .clone()
            .any(|entry| matches!(entry.text("table").as_str(), "op" | "servers"))
        {
            return (403, String::new());
        }
        for put in body.list("puts") {
            let (table, key) = (put.text("table"), put.text("key"));
            self.write(&mut rows, &table, &key, Some(put.text("value")));
        }
        for removed in body.list("remove") {
            let (table, key) = (removed.text("table"), removed.text("key"));
            self.write(&mut rows, &table, &key, None);
        }
        self.shared.1.notify_all();
        (
            200,
            format!(r#"{{"ver":{},"now_ms":{}}}"#, rows.version, now_ms()),
        )
    }
}

fn row(key: &Key, value: Option<&str>, version: u64) -> String {
    let (table, key) = key;
    match value {
        Some(value) => format!(
            r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{version}}}"#
        ),
        None => format!(
            r#"{{"table":"{table}","part":"","key":"{key}","ver":{version},"removed":true}}"#
        ),
    }
}

fn era() -> (&'static str, String) {
    ("Store-Era", "1".to_owned())
}

fn json_type() -> (&'static str, String) {
    ("Content-Type", "application/json".to_owned())
}

fn now_ms() -> u128 {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_millis()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = bits >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
