//! Random answers, cut at random bytes: no cut answer looks whole, no whole answer is cut, and what
//! may have run is never called not run.
//!
//! What is expected is derived from the script of an answer alone, not from the gateway's code.

use chicorystage_testbed::users_platform::{
    CallerReply, ConnectionEnd, EndpointEngine, PlatformFixture, RawEndpoint, RawReply, run_local,
    send_request,
};
use googletest::prelude::*;
use http::Method;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

/// Seeds of the scripts that are played.
const SEEDS: std::ops::Range<u64> = 0..250;
/// Seeds that once failed: streams whose lines end with CR LF, cut before the last LF of an event.
const FAILED_SEEDS: [u64; 4] = [1_851, 2_908, 4_340, 4_707];
/// Deadline of the callers, in milliseconds; short, as silent endpoints are waited for.
const DEADLINE: (&str, &str) = ("deadline-ms", "250");
const MODEL: (&str, &str) = ("model", "m0");
/// Largest number of events of a stream.
const EVENTS_MAX: u32 = 6;
/// Largest number of bytes of an answer that is not a stream; more than a gateway buffers.
const TEXT_BYTES_MAX: usize = 100_000;
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    Close,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    Reset,
    Silence,
}

/// An answer and where it is cut.
#[derive(Clone, Debug)]
struct Script {
    path: &'static str,
    status: u16,
    is_not_executed: bool,
    /// Whether the answer states the media type of events.
    has_events: bool,
    framing: Framing,
    /// Parts that an answer may end between: events, or the whole text.
    parts: Vec<String>,
    /// Bytes of the answer that are sent; `None` for all.
    cut_bytes: Option<usize>,
    end: End,
    head: String,
    /// Body as it is framed.
    framed: String,
}

impl Script {
    fn random(seed: u64) -> Self {
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

    fn body(&self) -> String {
        self.parts.concat()
    }

    fn reply(&self) -> RawReply {
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
    fn has_head(&self) -> bool {
        self.cut_bytes.is_none_or(|cut| cut >= self.head.len())
    }

    /// Returns the body that a caller may get as whole; `None` if it may get none.
    fn whole_body(&self) -> Option<String> {
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

fn is_stream_path(path: &str) -> bool {
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

/// Plays a script at the only endpoint, which refuses any other request.
fn play(script: &Script) -> Result<CallerReply> {
    run_local(async {
        let platform = PlatformFixture::start().await.or_fail()?;
        platform.declare(1);
        let refusal = RawReply::new(
            "503 Busy",
            &["Not-Executed: 1", "Content-Length: 0"],
            "",
            ConnectionEnd::Silence,
        );
        let engine = EndpointEngine::new(&["m0"], 60);
        let endpoint = RawEndpoint::start("e1", refusal, engine).await.or_fail()?;
        endpoint.script(script.reply());
        let service = if is_stream_path(script.path) {
            "llm"
        } else {
            "app"
        };
        platform.register_raw(&endpoint, service);
        let gateway = platform.start_ready_gateway("g1").await.or_fail()?;
        let headers = [MODEL, DEADLINE];
        send_request(&gateway, Method::POST, script.path, &headers, "{}")
            .await
            .or_fail()
    })
}

/// Returns what is wrong with the reply to a script, if anything is.
fn fault(script: &Script, reply: &CallerReply) -> Option<&'static str> {
    let status = reply.status.as_u16();
    if script.is_not_executed && script.has_head() {
        return (status != 503).then_some("a refusal became another answer");
    }
    let is_own_failure = matches!(status, 502 | 504) && status != script.status;
    if PROMISES.contains(&status) {
        return Some("what may have run is called not run");
    }
    if is_own_failure {
        let is_whole = script.cut_bytes.is_none() && script.end != End::Reset;
        let may_be_repeated = matches!(script.path, "/app/x" | "/long/x");
        let is_repeated_failure = script.status == 500 && may_be_repeated;
        return (is_whole && !is_repeated_failure).then_some("a whole answer is lost");
    }
    if status != script.status {
        return Some("another status than the endpoint's");
    }
    let text = reply.text();
    if reply.is_complete {
        let may_be_whole = script.whole_body().is_some_and(|body| body == text)
            || (script.cut_bytes.is_none() && script.body() == text);
        return (!may_be_whole).then_some("a cut answer looks whole");
    }
    if script.cut_bytes.is_none() && script.end != End::Reset {
        return Some("a whole answer is cut");
    }
    (!script.body().starts_with(&text)).then_some("bytes that the endpoint did not send")
}

#[gtest]
fn random_answers_reach_their_callers_as_what_they_are() -> Result<()> {
    for seed in SEEDS.chain(FAILED_SEEDS) {
        let script = Script::random(seed);
        let reply = play(&script)?;
        expect_that!(
            fault(&script, &reply),
            none(),
            "seed {seed}: {} {} {:?}, {} of {} + {} bytes, {:?}; got {} complete={} {} bytes",
            script.path,
            script.status,
            script.framing,
            script.cut_bytes.map_or(-1, usize::cast_signed),
            script.head.len(),
            script.framed.len(),
            script.end,
            reply.status,
            reply.is_complete,
            reply.body.len()
        );
    }
    Ok(())
}
