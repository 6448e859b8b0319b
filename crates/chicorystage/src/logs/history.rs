use std::collections::BTreeSet;
use std::io::{self, BufRead};

use crate::logs::LogLine;

/// Time before and after a request in which other events may be relevant to it, in milliseconds.
const CONTEXT_MS: i64 = 5_000;
/// Text that precedes the adapter's name in an order's `kind`.
const ADAPTER_ORDER_PREFIX: &str = "adapter ";
/// Events that affect all requests of the gateway that logged them.
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

/// Log lines about one request, with other lines that may be relevant to it.
#[derive(Clone, Debug)]
pub struct History {
    request_id: String,
    /// Lines that name the request, sorted by time after [`sort`](Self::sort).
    pub request_lines: Vec<LogLine>,
    /// Lines about endpoints, orders, the lease, streams and gateways at any time.
    context_lines: Vec<LogLine>,
    /// Number of lines that were read, without empty ones.
    pub lines: u64,
    /// Number of lines that aren't log lines of a gateway.
    pub unreadable_lines: u64,
}

impl History {
    /// Creates an empty history for the request `request_id`.
    #[must_use]
    pub fn new(request_id: &str) -> Self {
        Self {
            request_id: request_id.to_owned(),
            request_lines: Vec::new(),
            context_lines: Vec::new(),
            lines: 0,
            unreadable_lines: 0,
        }
    }

    /// Reads all lines of a log; `name` is the source of lines without a prefix.
    ///
    /// # Errors
    ///
    /// Returns the error of the underlying reader. Invalid UTF-8 is replaced; a
    /// line that then can't be parsed counts as unreadable.
    pub fn read(&mut self, name: &str, mut log: impl BufRead) -> io::Result<()> {
        let mut bytes = Vec::new();
        while log.read_until(b'\n', &mut bytes)? > 0 {
            let text = String::from_utf8_lossy(&bytes);
            self.add_line(name, text.trim());
            bytes.clear();
        }
        Ok(())
    }

    fn add_line(&mut self, name: &str, text: &str) {
        if text.is_empty() {
            return;
        }
        self.lines += 1;
        let Some(line) = LogLine::parse(name, text) else {
            self.unreadable_lines += 1;
            return;
        };
        if line.field("request") == self.request_id {
            self.request_lines.push(line);
        } else if is_context(&line.event) {
            self.context_lines.push(line);
        }
    }

    /// Sorts the lines by time; call it after all logs were read.
    pub fn sort(&mut self) {
        self.request_lines.sort_by_key(|line| line.time);
        self.context_lines.sort_by_key(|line| line.time);
    }

    /// Returns when the request began and ended, in milliseconds since the Unix epoch.
    ///
    /// `None` means that no line names the request.
    #[must_use]
    pub fn span_ms(&self) -> Option<(i64, i64)> {
        let begun_ms = self.request_lines.iter().map(start_ms).min()?;
        let ended_ms = self.request_lines.iter().map(LogLine::unix_ms).max()?;
        Some((begun_ms, ended_ms))
    }

    /// Returns the lines of other events near the request that are relevant to it, by time.
    pub fn related_lines(&self) -> impl Iterator<Item = &LogLine> {
        let endpoints = self.values("endpoint");
        let models = self.values("model");
        let adapters = self.values("adapter");
        let gateways: BTreeSet<&str> = self
            .request_lines
            .iter()
            .map(|line| line.source.as_str())
            .collect();
        self.context_near().filter(move |line| {
            let endpoint = line.field("endpoint");
            match line.event.as_str() {
                "endpoint" | "endpoint_crashed" => endpoints.contains(endpoint),
                "order" => {
                    models.contains(line.field("model")) && is_relevant_order(line, &adapters)
                }
                "lease" => true,
                "stream_ended" => false,
                _ => gateways.contains(line.source.as_str()),
            }
        })
    }

    /// Returns the `stream_ended` lines of other requests on an endpoint at about the same time.
    pub fn streams_at<'a>(&'a self, endpoint: &'a str) -> impl Iterator<Item = &'a LogLine> {
        self.context_near()
            .filter(move |line| line.event == "stream_ended" && line.field("endpoint") == endpoint)
    }

    fn context_near(&self) -> impl Iterator<Item = &LogLine> {
        let (begun_ms, ended_ms) = self.span_ms().unwrap_or((0, 0));
        let near = begun_ms - CONTEXT_MS..=ended_ms + CONTEXT_MS;
        let lines = self.context_lines.iter();
        lines.filter(move |line| near.contains(&line.unix_ms()))
    }

    fn values(&self, name: &str) -> BTreeSet<&str> {
        let values = self.request_lines.iter().map(|line| line.field(name));
        values.filter(|value| !value.is_empty()).collect()
    }
}

/// Returns when the request began, given one of its lines.
///
/// The line at a request's end contains how long the request took; for any
/// other line this is the line's own time.
fn start_ms(line: &LogLine) -> i64 {
    line.unix_ms() - line.number("time_ms").max(line.number("waited_ms"))
}

/// Returns whether an order for the request's model is relevant to its adapters.
///
/// An adapter order is relevant only to requests for that adapter.
fn is_relevant_order(order: &LogLine, adapters: &BTreeSet<&str>) -> bool {
    match order.field("kind").split_once(ADAPTER_ORDER_PREFIX) {
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
