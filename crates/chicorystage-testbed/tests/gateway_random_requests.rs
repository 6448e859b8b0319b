//! Random requests, cut at random bytes or framed in two ways: endpoints get what a caller sent
//! whole, once, and nothing else.
//!
//! What may arrive is derived from the script of a caller alone, not from the gateway's code.

use std::time::Duration;

use chicorystage_testbed::users_platform::{
    EndpointEmulator, PlatformFixture, ReceivedRequest, Reply, run_local,
};
use chicorystaged::gateway::shared::Gateway;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Seeds of the scripts that are played.
const SEEDS: std::ops::Range<u64> = 0..120;
/// Largest number of requests on one connection.
const REQUESTS_MAX: usize = 4;
/// Time for which a caller reads answers before it closes, in milliseconds.
const READ_MS: u64 = 120;
/// Time in which requests that are on their way reach the endpoint, in milliseconds.
const ARRIVAL_MS: u64 = 30;

/// How a request states where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    /// Both, with a length that ends before the chunks do, as in an attempt to smuggle a request.
    LengthAndChunks,
    /// Two lengths that differ.
    TwoLengths,
}

#[derive(Clone, Debug)]
struct ScriptedRequest {
    /// Name of the request; its path and body hold it.
    name: String,
    body: String,
    framing: Framing,
    bytes: String,
}

/// Requests on one connection, of which only the first bytes are sent.
#[derive(Clone, Debug)]
struct Script {
    requests: Vec<ScriptedRequest>,
    sent_bytes: usize,
    is_reset: bool,
}

impl ScriptedRequest {
    fn random(rng: &mut StdRng, name: String) -> Self {
        let framing = pick(
            rng,
            &[
                Framing::Length,
                Framing::Length,
                Framing::Chunks,
                Framing::Chunks,
                Framing::LengthAndChunks,
                Framing::TwoLengths,
            ],
        );
        let smuggled =
            "POST /pay/smuggled HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n";
        let body = pick(
            rng,
            &["{}", "0\r\n\r\n", smuggled, "GET / HTTP/1.1\r\n\r\n"],
        );
        let body = format!("{name} {body}");
        let length = format!("Content-Length: {}\r\n", body.len());
        let chunked = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
        let (headers, framed) = match framing {
            Framing::Length => (length, body.clone()),
            Framing::Chunks => ("Transfer-Encoding: chunked\r\n".to_owned(), chunked),
            Framing::LengthAndChunks => (
                "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n".to_owned(),
                chunked,
            ),
            Framing::TwoLengths => (format!("{length}Content-Length: 3\r\n"), body.clone()),
        };
        let bytes = format!(
            "POST /pay/{name} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {name}\r\n\
             Deadline-Ms: 2000\r\n{headers}\r\n{framed}"
        );
        Self {
            name,
            body,
            framing,
            bytes,
        }
    }
}

impl Script {
    fn random(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = rng.random_range(1..=REQUESTS_MAX);
        let requests: Vec<_> = (0..count)
            .map(|i| ScriptedRequest::random(&mut rng, format!("r{i}")))
            .collect();
        let all_bytes: usize = requests.iter().map(|request| request.bytes.len()).sum();
        let sent_bytes = if rng.random_bool(0.6) {
            rng.random_range(0..all_bytes)
        } else {
            all_bytes
        };
        Self {
            requests,
            sent_bytes,
            is_reset: rng.random_bool(0.3),
        }
    }

    /// Returns the requests that were sent whole, in order.
    fn whole(&self) -> impl Iterator<Item = &ScriptedRequest> {
        let mut end_bytes = 0;
        self.requests.iter().take_while(move |request| {
            end_bytes += request.bytes.len();
            end_bytes <= self.sent_bytes
        })
    }

    /// Returns the first request if it must reach the endpoint: sent whole, framed in one way, on a
    /// connection that stays open.
    fn first_to_arrive(&self) -> Option<&ScriptedRequest> {
        let first = self.whole().next()?;
        let is_plain = matches!(first.framing, Framing::Length | Framing::Chunks);
        (is_plain && !self.is_reset).then_some(first)
    }

    /// Returns what is wrong with the requests that reached the endpoint, if anything is.
    fn fault(&self, received: &[ReceivedRequest]) -> Option<String> {
        for request in received {
            let name = request.path.trim_start_matches("/pay/");
            let Some(sent) = self.whole().find(|sent| sent.name == name) else {
                return Some(format!("{} was not sent whole", request.path));
            };
            if sent.framing == Framing::TwoLengths {
                return Some(format!("{name} has two lengths"));
            }
            if request.body != sent.body {
                return Some(format!("{name} has another body: {:?}", request.body));
            }
            if request.header("attempt-id") != name {
                return Some(format!("{name} has another id"));
            }
        }
        if let Some(first) = self.first_to_arrive() {
            let path = format!("/pay/{}", first.name);
            if !received.iter().any(|request| request.path == path) {
                return Some(format!("{path} did not arrive"));
            }
        }
        let mut names: Vec<_> = received.iter().map(|request| &request.path).collect();
        names.sort_unstable();
        let count = names.len();
        names.dedup();
        (names.len() < count).then(|| "a request ran twice".to_owned())
    }
}

fn pick<T: Copy>(rng: &mut StdRng, choices: &[T]) -> T {
    *choices.choose(rng).expect("there is a choice")
}

/// Sends the bytes of a script on one connection, reads for a while and closes.
async fn send(gateway: &Gateway, script: &Script) -> Result<()> {
    let mut stream = TcpStream::connect(gateway.settings.callers)
        .await
        .or_fail()?;
    let bytes: String = script
        .requests
        .iter()
        .map(|request| request.bytes.as_str())
        .collect();
    let sent = &bytes.as_bytes()[..script.sent_bytes];
    // A gateway that has refused the connection's first bytes may close before the last ones.
    let _written = stream.write_all(sent).await;
    if script.is_reset {
        tokio::time::sleep(Duration::from_millis(ARRIVAL_MS)).await;
        return socket2::SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .or_fail();
    }
    let mut answers = Vec::new();
    let read = stream.read_to_end(&mut answers);
    // Only what reaches the endpoint is judged.
    let _read = tokio::time::timeout(Duration::from_millis(READ_MS), read).await;
    Ok(())
}

/// Plays a script and returns what the endpoint received of it, and the answer to a plain request
/// on another connection afterwards.
async fn play(script: &Script) -> Result<(Vec<ReceivedRequest>, http::StatusCode)> {
    let platform = PlatformFixture::start().await.or_fail()?;
    platform.declare(1);
    let reply = Reply::Complete {
        status: 200,
        body: "ok".to_owned(),
    };
    let endpoint = EndpointEmulator::start("e1", reply, None).await.or_fail()?;
    platform.register(&endpoint, "app");
    let gateway = platform.start_ready_gateway("g1").await.or_fail()?;
    send(&gateway, script).await?;
    tokio::time::sleep(Duration::from_millis(ARRIVAL_MS)).await;
    let received = endpoint.received_requests();
    let after = chicorystage_testbed::users_platform::send_request(
        &gateway,
        http::Method::POST,
        "/pay/after",
        &[],
        "{}",
    );
    Ok((received, after.await.or_fail()?.status))
}

#[gtest]
fn endpoints_get_whole_requests_of_callers_and_nothing_else() -> Result<()> {
    for seed in SEEDS {
        let script = Script::random(seed);
        let (received, status_after) = run_local(play(&script))?;
        expect_that!(script.fault(&received), none(), "seed {seed}: {script:?}");
        expect_that!(status_after, eq(http::StatusCode::OK), "seed {seed}");
    }
    Ok(())
}
