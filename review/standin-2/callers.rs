//! Stand-ins of requesters.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::util::{unix_ms, Channel, Reply};

static NUMBER: AtomicU64 = AtomicU64::new(1);
/// Statuses of all requests, by name of the caller.
static ENDS: Mutex<Vec<(String, u16, bool)>> = Mutex::new(Vec::new());

/// Returns a new id of a requester attempt.
pub fn new_attempt() -> String {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{:08x}", unix_ms() as u32, number)
}

/// A request of a model's stream.
pub struct StreamRequest {
    pub path: String,
    pub model: String,
    /// Number of events that the answer has.
    pub events: u64,
    pub time_limit_ms: u64,
    pub last_event_id: Option<u64>,
    pub resumes: Option<String>,
    pub key: Option<String>,
}

impl StreamRequest {
    /// Sends the request on a channel; calls `arrived` with what has come of the body.
    pub fn send(&self, channel: &mut Channel, attempt: &str, arrived: impl FnMut(&[u8])) -> Reply {
        let mut headers = vec![
            ("Host", "h.example".to_owned()),
            ("Attempt-Id", attempt.to_owned()),
            ("Model", self.model.clone()),
            ("Token-Counts", format!("291,{}", self.events)),
            ("Prompt-Prefix", format!("5c1e07a2:92,{attempt}:199")),
            ("Deadline-Ms", self.time_limit_ms.to_string()),
        ];
        if let Some(id) = self.last_event_id {
            headers.push(("Last-Event-Id", id.to_string()));
        }
        if let Some(stream) = &self.resumes {
            headers.push(("Resumes", stream.clone()));
        }
        if let Some(key) = &self.key {
            headers.push(("Authorization", format!("Bearer {key}")));
        }
        channel.exchange("POST", &self.path, &headers, b"{\"q\":1}", arrived)
    }
}

/// Records how a request ended.
pub fn count(caller: &str, attempt: &str, reply: &Reply) {
    note!("{caller}: {attempt} ended, status {}, whole: {}", reply.status, reply.is_whole);
    ENDS.lock().unwrap().push((caller.to_owned(), reply.status, reply.is_whole));
}

/// Records how many requests ended with which status.
pub fn record_ends() {
    let mut counts = std::collections::BTreeMap::new();
    for end in ENDS.lock().unwrap().iter() {
        *counts.entry(end.clone()).or_insert(0) += 1;
    }
    for ((caller, status, is_whole), number) in counts {
        note!("{caller}: {number} requests ended with status {status}, whole: {is_whole}");
    }
}

/// Sends a request on a new channel.
pub fn send_new(
    address: SocketAddr,
    request: &StreamRequest,
    attempt: &str,
    arrived: impl FnMut(&[u8]),
) -> Reply {
    match Channel::open(address) {
        Ok(mut channel) => request.send(&mut channel, attempt, arrived),
        Err(_) => Reply { status: 0, headers: Vec::new(), body: Vec::new(), is_whole: false },
    }
}

/// Returns the events in a stream's body that came whole: identity and data of each.
pub fn events(body: &[u8]) -> Vec<(u64, String)> {
    let text = String::from_utf8_lossy(body);
    let whole = text.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
    let event = |event: &str| {
        let id = event.lines().find_map(|line| line.strip_prefix("id: "))?.parse().ok()?;
        let data = event.lines().find_map(|line| line.strip_prefix("data: "))?;
        Some((id, data.to_owned()))
    };
    whole.split("\n\n").filter_map(event).collect()
}
