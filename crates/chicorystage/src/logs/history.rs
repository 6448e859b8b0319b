use std::collections::BTreeSet;
use std::io::{self, BufRead};

use crate::logs::LogLine;

/// Time around a request within which other events may bear on it, in milliseconds.
const AROUND_MS: i64 = 5_000;
/// What precedes the adapter's name in the kind of an order.
const ADAPTER_ORDER: &str = "adapter ";
/// Events of a gateway that bear on all of its requests.
const GATEWAY_EVENTS: [&str; 8] = [
    "gateway_started",
    "gateway_stopping",
    "gateway_stopped",
    "configuration",
    "store_lost",
    "store_regained",
    "history_lost",
    "log_lines_dropped",
];

/// The lines about one request and those that bear on it.
#[derive(Clone, Debug)]
pub struct History {
    request_id: String,
    /// Lines that name the request, by time.
    pub own: Vec<LogLine>,
    /// Lines about endpoints, orders, streams and gateways.
    others: Vec<LogLine>,
    /// Lines that were read.
    pub lines: u64,
    /// Lines that are not lines of a gateway.
    pub unreadable_lines: u64,
}

impl History {
    /// Creates the empty history of a request.
    #[must_use]
    pub fn new(request_id: &str) -> Self {
        Self {
            request_id: request_id.to_owned(),
            own: Vec::new(),
            others: Vec::new(),
            lines: 0,
            unreadable_lines: 0,
        }
    }

    /// Reads a log; `name` is the source of lines that name none.
    ///
    /// # Errors
    ///
    /// Returns the error of reading. Lines that are not text count as unreadable.
    pub fn read(&mut self, name: &str, mut log: impl BufRead) -> io::Result<()> {
        let mut bytes = Vec::new();
        while log.read_until(b'\n', &mut bytes)? > 0 {
            let text = String::from_utf8_lossy(&bytes);
            self.take(name, text.trim());
            bytes.clear();
        }
        Ok(())
    }

    fn take(&mut self, name: &str, text: &str) {
        if text.is_empty() {
            return;
        }
        self.lines += 1;
        let Some(line) = LogLine::parse(name, text) else {
            self.unreadable_lines += 1;
            return;
        };
        if line.field("request") == self.request_id {
            self.own.push(line);
        } else if is_context(&line.event) {
            self.others.push(line);
        }
    }

    /// Sorts what was read by time.
    pub fn sort(&mut self) {
        self.own.sort_by_key(|line| line.time);
        self.others.sort_by_key(|line| line.time);
    }

    /// Returns when the request began and ended, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn span_ms(&self) -> Option<(i64, i64)> {
        let begun_ms = self.own.iter().map(begun_ms).min()?;
        let ended_ms = self.own.iter().map(LogLine::unix_ms).max()?;
        Some((begun_ms, ended_ms))
    }

    /// Returns the lines of other events near the request that bear on it, by time.
    pub fn around(&self) -> impl Iterator<Item = &LogLine> {
        let endpoints = self.values("endpoint");
        let models = self.values("model");
        let adapters = self.values("adapter");
        let gateways: BTreeSet<&str> = self.own.iter().map(|line| line.source.as_str()).collect();
        self.near().filter(move |line| {
            let endpoint = line.field("endpoint");
            match line.event.as_str() {
                "endpoint" | "endpoint_crashed" => endpoints.contains(endpoint),
                "order" => models.contains(line.field("model")) && bears_on(line, &adapters),
                "lease" => true,
                "stream_ended" => false,
                _ => gateways.contains(line.source.as_str()),
            }
        })
    }

    /// Returns the streams of other requests that ended at an endpoint near this one.
    pub fn streams_at<'a>(&'a self, endpoint: &'a str) -> impl Iterator<Item = &'a LogLine> {
        self.near()
            .filter(move |line| line.event == "stream_ended" && line.field("endpoint") == endpoint)
    }

    fn near(&self) -> impl Iterator<Item = &LogLine> {
        let (begun_ms, ended_ms) = self.span_ms().unwrap_or((0, 0));
        let near = begun_ms - AROUND_MS..=ended_ms + AROUND_MS;
        let others = self.others.iter();
        others.filter(move |line| near.contains(&line.unix_ms()))
    }

    fn values(&self, name: &str) -> BTreeSet<&str> {
        let values = self.own.iter().map(|line| line.field(name));
        values.filter(|value| !value.is_empty()).collect()
    }
}

/// A line at a request's end says how long the request took.
fn begun_ms(line: &LogLine) -> i64 {
    line.unix_ms() - line.number("time_ms").max(line.number("waited_ms"))
}

/// Orders about adapters bear on requests for these.
fn bears_on(order: &LogLine, adapters: &BTreeSet<&str>) -> bool {
    match order.field("kind").split_once(ADAPTER_ORDER) {
        Some((_, adapter)) => adapters.contains(adapter),
        None => true,
    }
}

fn is_context(event: &str) -> bool {
    matches!(
        event,
        "endpoint" | "endpoint_crashed" | "order" | "lease" | "stream_ended"
    ) || GATEWAY_EVENTS.contains(&event)
}
