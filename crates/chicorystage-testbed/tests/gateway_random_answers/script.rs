//! Scripts of answers, drawn from a seed.

use chicorystage_testbed::users_platform::{ConnectionEnd, RawReply};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

/// Largest number of events of a stream.
const EVENTS_MAX: u32 = 6;
/// Largest number of bytes of an answer that is not a stream; more than a gateway buffers.
const TEXT_BYTES_MAX: usize = 100_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunks,
    Close,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Close,
    Reset,
    Silence,
}

/// An answer and where it is cut.
#[derive(Clone, Debug)]
pub struct Script {
    pub path: &'static str,
    pub status: u16,
    pub is_not_executed: bool,
    /// Whether the answer states the media type of events.
    has_events: bool,
    pub framing: Framing,
    /// Parts that an answer may end between: events, or the whole text.
    parts: Vec<String>,
    /// Bytes of the answer that are sent; `None` for all.
    pub cut_bytes: Option<usize>,
    pub end: End,
    pub head: String,
    /// Body as it is framed.
    pub framed: String,
}

impl Script {
    pub fn random(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let path = pick(&mut rng, &["/chat/x", "/long/x", "/app/x", "/pay/x"]);
        let is_not_executed = rng.random_bool(0.1);
        let status = if is_not_executed {
            503
        } else {
            pick(&mut rng, &[200, 200, 200, 200, 500, 404])
        };
        let framing = pick(
            &mut rng,
            &[
                Framing::Length,
                Framing::Chunks,
                Framing::Close,
                Framing::Close,
            ],
        );
        // Plain services may answer with events too.
        let has_events = status == 200 && (is_stream_path(path) || rng.random_bool(0.3));
        let parts = if has_events {
            random_events(&mut rng)
        } else {
            vec![random_text(&mut rng)]
        };
        let body = parts.concat();
        let framed = match framing {
            Framing::Chunks => in_chunks(&mut rng, &body),
            Framing::Length | Framing::Close => body.clone(),
        };
        let head = head(status, is_not_executed, framing, has_events, body.len());
        let sent_bytes = head.len() + framed.len();
        let is_cut = rng.random_bool(0.7);
        // Cuts within the head are rarer than their share of the bytes.
        let cut_from = if rng.random_bool(0.2) { 0 } else { head.len() };
        let cut_bytes =
            (is_cut && cut_from < sent_bytes).then(|| rng.random_range(cut_from..sent_bytes));
        let end = if cut_bytes.is_none() && framing == Framing::Close {
            End::Close
        } else {
            pick(
                &mut rng,
                &[End::Close, End::Close, End::Reset, End::Silence],
            )
        };
        Self {
            path,
            status,
            is_not_executed,
            has_events,
            framing,
            parts,
            cut_bytes,
            end,
            head,
            framed,
        }
    }

    pub fn body(&self) -> String {
        self.parts.concat()
    }

    pub fn reply(&self) -> RawReply {
        let mut bytes = format!("{}{}", self.head, self.framed);
        bytes.truncate(self.cut_bytes.unwrap_or(bytes.len()));
        RawReply {
            bytes,
            end: match self.end {
                End::Close => ConnectionEnd::Close,
                End::Reset => ConnectionEnd::Reset,
                End::Silence => ConnectionEnd::Silence,
            },
        }
    }

    /// Returns whether the whole head is sent.
    pub fn has_head(&self) -> bool {
        self.cut_bytes.is_none_or(|cut| cut >= self.head.len())
    }

    /// Returns the body that a caller may get as whole; `None` if it may get none.
    pub fn whole_body(&self) -> Option<String> {
        let Some(cut) = self.cut_bytes else {
            // A reset may overtake the answer before it.
            return (self.end != End::Reset).then(|| self.body());
        };
        let body_bytes = cut.checked_sub(self.head.len())?;
        if self.framing != Framing::Close || self.end != End::Close {
            return None;
        }
        // Nothing but the content tells such a cut from the end.
        let received = &self.framed[..body_bytes];
        if !self.has_events {
            return Some(received.to_owned());
        }
        let mut whole = String::new();
        let ends = self.parts.iter().any(|part| {
            whole.push_str(part);
            whole == received
        });
        ends.then_some(whole)
    }
}

fn pick<T: Copy>(rng: &mut StdRng, choices: &[T]) -> T {
    *choices.choose(rng).expect("there is a choice")
}

pub fn is_stream_path(path: &str) -> bool {
    matches!(path, "/chat/x" | "/long/x")
}

fn random_events(rng: &mut StdRng) -> Vec<String> {
    let line_end = pick(rng, &["\n", "\n", "\r\n"]);
    let events = rng.random_range(1..=EVENTS_MAX);
    let event = |id: u32| format!("id: {id}{line_end}data: e{id}{line_end}{line_end}");
    (1..=events).map(event).collect()
}

fn random_text(rng: &mut StdRng) -> String {
    let longest = pick(rng, &[1, 100, 100, TEXT_BYTES_MAX]);
    let bytes = rng.random_range(0..=longest);
    "the answer to its own request. "
        .chars()
        .cycle()
        .take(bytes)
        .collect()
}

fn in_chunks(rng: &mut StdRng, body: &str) -> String {
    let mut chunks = Vec::new();
    let mut rest = body;
    while !rest.is_empty() {
        let (chunk, after) = rest.split_at(rng.random_range(1..=rest.len()));
        chunks.push(format!("{:x}\r\n{chunk}\r\n", chunk.len()));
        rest = after;
    }
    format!("{}0\r\n\r\n", chunks.concat())
}

fn head(
    status: u16,
    is_not_executed: bool,
    framing: Framing,
    has_events: bool,
    length: usize,
) -> String {
    let length = format!("Content-Length: {length}");
    let mut headers = Vec::new();
    match framing {
        Framing::Length => headers.push(length.as_str()),
        Framing::Chunks => headers.push("Transfer-Encoding: chunked"),
        Framing::Close => {}
    }
    if has_events {
        headers.push("Content-Type: text/event-stream");
    }
    if is_not_executed {
        headers.push("Not-Executed: 1");
    }
    let reply = RawReply::new(&format!("{status} X"), &headers, "", ConnectionEnd::Silence);
    // The id that callers of these tests send, so that cuts count bytes as they are sent.
    reply.bytes.replace("{attempt}", "a1")
}
