//! A caller of a stream that takes it up again at another gateway when it breaks off.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::http::{Part, send};
use crate::record::Record;

/// What one try of a caller brought.
#[derive(Clone, Debug)]
pub struct Try {
    pub began: Instant,
    /// Status of the answer; 0 if there was none.
    pub status: u16,
    /// Numbers of events with the version and the id of the worker that made each.
    pub events: Vec<(u64, String, String)>,
    pub is_whole: bool,
}

/// A stream as its caller sees it over all tries.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    pub tries: Vec<Try>,
}

impl Stream {
    pub fn events(&self) -> impl Iterator<Item = &(u64, String, String)> {
        self.tries.iter().flat_map(|one| &one.events)
    }

    pub fn is_whole(&self) -> bool {
        self.tries.last().is_some_and(|last| last.is_whole)
    }

    /// Versions of the workers whose events the caller got, without repeats.
    pub fn versions(&self) -> Vec<String> {
        let mut versions: Vec<String> = self
            .events()
            .map(|(_, version, _)| version.clone())
            .collect();
        versions.sort();
        versions.dedup();
        versions
    }
}

pub struct StreamRequest {
    pub path: String,
    pub model: Option<String>,
    pub id: String,
    /// Parts of the prompt before the request's own.
    pub parts: String,
    pub deadline: Duration,
}

/// Sends the request at the first gateway; after a break takes the stream up at the next ones, each
/// after its pause.
pub fn stream(
    record: &Record,
    request: &StreamRequest,
    gateways: &[(String, SocketAddr, Duration)],
) -> Stream {
    let began = Instant::now();
    let mut seen = Stream::default();
    let mut begun_by: Option<String> = None;
    for (number, (name, address, pause)) in gateways.iter().enumerate() {
        std::thread::sleep(*pause);
        let left = request.deadline.saturating_sub(began.elapsed());
        if left.is_zero() {
            break;
        }
        let attempt = format!("{}{number:02x}", request.id);
        let last = seen.events().last().map(|(id, _, _)| *id);
        let mut headers = vec![
            ("Host", "shop.example".to_owned()),
            ("Attempt-Id", attempt.clone()),
            ("Deadline-Ms", left.as_millis().to_string()),
            ("Token-Counts", "715,900".to_owned()),
            (
                "Prompt-Prefix",
                format!("{},{}:193", request.parts, request.id),
            ),
        ];
        if let Some(model) = &request.model {
            headers.push(("Model", model.clone()));
        }
        if let (Some(last), Some(begun_by)) = (last, &begun_by) {
            headers.push(("Last-Event-Id", last.to_string()));
            headers.push(("Resumes", begun_by.clone()));
        }
        // A caller's tries are alike; the requests of two callers are not.
        let body = format!("prompt of {}", request.id);
        let mut one = Try {
            began: Instant::now(),
            status: 0,
            events: Vec::new(),
            is_whole: false,
        };
        let mut end = String::new();
        match send(
            *address,
            "POST",
            &request.path,
            &headers,
            body.as_bytes(),
            left,
            None,
        ) {
            Err(error) => end = format!("no answer: {error}"),
            Ok(mut answer) => {
                one.status = answer.status;
                let mut text = Vec::new();
                loop {
                    match answer.next() {
                        Part::Data(data) => text.extend(data),
                        Part::End => {
                            one.is_whole = answer.status == 200;
                            break;
                        }
                        Part::Broken(why) => {
                            end = why;
                            break;
                        }
                    }
                }
                if answer.status == 200 {
                    one.events = events(&text);
                }
            }
        }
        if begun_by.is_none() && !one.events.is_empty() {
            begun_by = Some(attempt.clone());
        }
        let span = |pick: fn(&(u64, String, String)) -> String| {
            let mut all: Vec<String> = one.events.iter().map(pick).collect();
            all.dedup();
            all.join("+")
        };
        record.line(&format!(
            "stream {} try {attempt} at {name}{}: status {}, events {}..{} of {} at {}, {}",
            request.id,
            last.map_or(String::new(), |last| format!(
                " after event {last}, begun by {}",
                begun_by.as_deref().unwrap_or("")
            )),
            one.status,
            one.events.first().map_or(0, |event| event.0),
            one.events.last().map_or(0, |event| event.0),
            span(|event| event.1.clone()),
            span(|event| event.2.clone()),
            if one.is_whole {
                "whole".to_owned()
            } else {
                format!("not whole: {end}")
            },
        ));
        seen.tries.push(one);
        if seen.is_whole() {
            break;
        }
    }
    seen
}

/// Reads the complete events.
fn events(text: &[u8]) -> Vec<(u64, String, String)> {
    let text = String::from_utf8_lossy(text);
    let Some((complete, _)) = text.rsplit_once("\n\n") else {
        return Vec::new();
    };
    let blocks = complete.split("\n\n").filter(|block| !block.is_empty());
    blocks
        .filter_map(|block| {
            let field = |name: &str| block.lines().find_map(|line| line.strip_prefix(name));
            let id = field("id: ")?.parse().ok()?;
            let (version, worker) = field("data: ")?.split_once(' ')?;
            Some((id, version.to_owned(), worker.to_owned()))
        })
        .collect()
}
