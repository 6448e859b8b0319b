//! Answers whose end only the close of the connection marks: what a gateway may call complete.

use std::rc::Rc;

use chicorystage_testbed::users_platform::{
    CallerReply, ConnectionEnd, EndpointEngine, PlatformFixture, RawEndpoint, RawReply, run_local,
    send_request, wait_until,
};
use chicorystaged::gateway::shared::Gateway;
use googletest::prelude::*;
use http::{Method, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MODEL: (&str, &str) = ("model", "m0");
const TWO_EVENTS: &str = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";
const LAST_EVENT: &str = "id: 3\ndata: e3\n\n";

/// A gateway before endpoints that send raw bytes.
struct World {
    endpoints: Vec<RawEndpoint>,
    gateway: Rc<Gateway>,
}

impl World {
    /// Starts one endpoint of a service for each reply.
    async fn start(service: &str, replies: Vec<RawReply>) -> Result<Self> {
        let platform = PlatformFixture::start().await.or_fail()?;
        platform.declare(1);
        let mut endpoints = Vec::new();
        for (i, reply) in replies.into_iter().enumerate() {
            let engine = EndpointEngine::new(&["m0"], 60);
            let id = format!("e{i}");
            let endpoint = RawEndpoint::start(&id, reply, engine).await.or_fail()?;
            platform.register_raw(&endpoint, service);
            endpoints.push(endpoint);
        }
        let gateway = platform.start_ready_gateway("g1").await.or_fail()?;
        wait_until("all endpoints are known", || {
            gateway.with(|view| view.fleet.endpoints().count()) == endpoints.len()
        })
        .await;
        Ok(Self { endpoints, gateway })
    }

    async fn send(&self, path: &str) -> Result<CallerReply> {
        let headers = [MODEL];
        send_request(&self.gateway, Method::POST, path, &headers, "{}")
            .await
            .or_fail()
    }

    /// Returns how many requests the endpoints received in all.
    fn received(&self) -> usize {
        let heads = self.endpoints.iter().map(RawEndpoint::received_heads);
        heads.map(|heads| heads.len()).sum()
    }
}

fn events(body: &str, end: ConnectionEnd) -> RawReply {
    RawReply::unframed_events(body, end)
}

/// Returns the answer to one request for a stream from the only endpoint.
fn stream_reply(path: &str, reply: RawReply) -> Result<CallerReply> {
    run_local(async { World::start("llm", vec![reply]).await?.send(path).await })
}

// Incident ORDER on altiplano-miel, 2026-12-04.
#[gtest]
fn unframed_stream_that_closes_within_an_event_reaches_its_caller_as_broken_off() -> Result<()> {
    let body = format!("{TWO_EVENTS}id: 3\ndata: e");
    let reply = stream_reply("/chat/x", events(&body, ConnectionEnd::Close))?;
    verify_that!(reply.is_complete, eq(false))
}

#[gtest]
fn framed_stream_that_ends_within_an_event_reaches_its_caller_as_broken_off() -> Result<()> {
    let body = format!("{TWO_EVENTS}id: 3\ndata: e");
    let length = format!("Content-Length: {}", body.len());
    let headers = ["Content-Type: text/event-stream", length.as_str()];
    let reply = RawReply::new("200 OK", &headers, &body, ConnectionEnd::Silence);
    let reply = stream_reply("/chat/x", reply)?;
    verify_that!(reply.is_complete, eq(false))?;
    verify_that!(reply.text(), eq(TWO_EVENTS))
}

#[gtest]
fn events_that_arrive_together_with_the_break_reach_the_caller() -> Result<()> {
    let chunk = format!("{:x}\r\n{TWO_EVENTS}\r\n", TWO_EVENTS.len());
    let headers = [
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    ];
    let reply = RawReply::new("200 OK", &headers, &chunk, ConnectionEnd::Close);
    let reply = stream_reply("/chat/x", reply)?;
    verify_that!(reply.is_complete, eq(false))?;
    verify_that!(reply.text(), eq(TWO_EVENTS))
}

#[gtest]
fn unframed_stream_that_is_reset_reaches_its_caller_as_broken_off() -> Result<()> {
    for path in ["/chat/x", "/long/x"] {
        let reply = stream_reply(path, events(TWO_EVENTS, ConnectionEnd::Reset))?;
        verify_that!(reply.is_complete, eq(false)).with_failure_message(|| path.to_owned())?;
    }
    Ok(())
}

#[gtest]
fn unframed_stream_that_closes_after_an_event_reaches_its_caller_whole() -> Result<()> {
    for path in ["/chat/x", "/long/x"] {
        let reply = stream_reply(path, events(TWO_EVENTS, ConnectionEnd::Close))?;
        verify_that!(reply.is_complete, eq(true)).with_failure_message(|| path.to_owned())?;
        verify_that!(reply.text(), eq(TWO_EVENTS))?;
    }
    Ok(())
}

#[gtest]
fn unframed_stream_without_an_event_reaches_its_caller_as_broken_off() -> Result<()> {
    for path in ["/chat/x", "/long/x"] {
        let reply = stream_reply(path, events("", ConnectionEnd::Close))?;
        verify_that!(reply.is_complete, eq(false)).with_failure_message(|| path.to_owned())?;
    }
    Ok(())
}

#[gtest]
fn answer_without_a_body_on_a_route_of_streams_is_complete() -> Result<()> {
    let empty = RawReply::new("204 No Content", &[], "", ConnectionEnd::Silence);
    let reply = stream_reply("/chat/x", empty)?;
    verify_that!(reply.status, eq(StatusCode::NO_CONTENT))?;
    verify_that!(reply.is_complete, eq(true))
}

#[gtest]
fn unframed_stream_that_closes_within_an_event_is_resumed_after_the_event_before() -> Result<()> {
    run_local(async {
        let partial = format!("{TWO_EVENTS}id: 3\nda");
        let broken = events(&partial, ConnectionEnd::Close);
        let whole = events(LAST_EVENT, ConnectionEnd::Close);
        let world = World::start("llm", vec![broken, whole]).await?;

        let reply = world.send("/long/x").await?;

        verify_that!(reply.is_complete, eq(true))?;
        verify_that!(
            reply.text(),
            eq(format!("{TWO_EVENTS}{LAST_EVENT}").as_str())
        )?;
        let resumed = world.endpoints[1].received_heads();
        verify_that!(
            resumed,
            elements_are![contains_substring("last-event-id: 2")]
        )
    })
}

#[gtest]
fn stream_is_not_resumed_with_an_answer_that_is_no_stream() -> Result<()> {
    run_local(async {
        let broken = events(&format!("{TWO_EVENTS}id: 3\nda"), ConnectionEnd::Close);
        let other = RawReply::new(
            "200 OK",
            &["Content-Type: application/json"],
            "{}",
            ConnectionEnd::Close,
        );
        let world = World::start("llm", vec![broken, other]).await?;

        let reply = world.send("/long/x").await?;

        verify_that!(reply.is_complete, eq(false))?;
        verify_that!(reply.text(), eq(TWO_EVENTS))?;
        verify_that!(world.received(), eq(2))
    })
}

#[gtest]
fn long_unframed_failure_on_a_resumable_route_is_not_resumed() -> Result<()> {
    run_local(async {
        // More than a gateway buffers, so that it is relayed.
        let body = "out of luck ".repeat(10_000);
        let failed = RawReply::new("500 Failed", &[], &body, ConnectionEnd::Close);
        let whole = events(LAST_EVENT, ConnectionEnd::Close);
        let world = World::start("llm", vec![failed, whole]).await?;

        let reply = world.send("/long/x").await?;

        verify_that!(reply.status, eq(StatusCode::INTERNAL_SERVER_ERROR))?;
        verify_that!(reply.text() == body, eq(true))?;
        verify_that!(reply.is_complete, eq(true))?;
        verify_that!(world.received(), eq(1))
    })
}

#[gtest]
fn unframed_failures_on_a_resumable_route_reach_the_caller_as_one_of_them() -> Result<()> {
    run_local(async {
        let failed = RawReply::new("500 Failed", &[], "out of luck", ConnectionEnd::Close);
        let world = World::start("llm", vec![failed.clone(), failed]).await?;

        let reply = world.send("/long/x").await?;

        verify_that!(reply.status, eq(StatusCode::INTERNAL_SERVER_ERROR))?;
        verify_that!(reply.text(), eq("out of luck"))?;
        verify_that!(reply.is_complete, eq(true))?;
        verify_that!(world.received(), eq(2))
    })
}

#[gtest]
fn unframed_failure_on_a_resumable_route_is_followed_by_a_whole_other_answer() -> Result<()> {
    run_local(async {
        let failed = RawReply::new("500 Failed", &[], "out of luck", ConnectionEnd::Close);
        let whole = events(LAST_EVENT, ConnectionEnd::Close);
        let world = World::start("llm", vec![failed, whole]).await?;

        let reply = world.send("/long/x").await?;

        verify_that!(reply.status, eq(StatusCode::OK))?;
        verify_that!(reply.text(), eq(LAST_EVENT))?;
        verify_that!(reply.is_complete, eq(true))
    })
}

#[gtest]
fn stream_with_a_length_that_is_resumed_is_framed_by_its_events_alone() -> Result<()> {
    run_local(async {
        // The engine that goes on words its event differently, so that lengths differ.
        let longer = "id: 3\ndata: e3, at more length\n\n";
        let length = format!("Content-Length: {}", TWO_EVENTS.len() + LAST_EVENT.len());
        let headers = ["Content-Type: text/event-stream", length.as_str()];
        let broken = RawReply::new("200 OK", &headers, TWO_EVENTS, ConnectionEnd::Close);
        let whole = events(longer, ConnectionEnd::Close);
        let world = World::start("llm", vec![broken, whole]).await?;

        let reply = world.send("/long/x").await?;

        verify_that!(reply.is_complete, eq(true))?;
        verify_that!(reply.text(), eq(format!("{TWO_EVENTS}{longer}").as_str()))
    })
}

#[gtest]
fn broken_events_on_an_idempotent_route_are_repeated() -> Result<()> {
    run_local(async {
        let broken = events("id: 1\ndata: e1\n\nid: 2\nda", ConnectionEnd::Close);
        let whole = events(TWO_EVENTS, ConnectionEnd::Close);
        let world = World::start("app", vec![broken, whole]).await?;

        let reply = world.send("/app/x").await?;

        verify_that!(reply.is_complete, eq(true))?;
        verify_that!(reply.text(), eq(TWO_EVENTS))
    })
}

#[gtest]
fn broken_events_on_a_route_that_runs_once_are_neither_repeated_nor_complete() -> Result<()> {
    let short = format!("{TWO_EVENTS}id: 3\nda");
    // More than a gateway buffers, so that it is relayed.
    let long = format!("{}id: 3\nda", TWO_EVENTS.repeat(3_000));
    for body in [short, long] {
        run_local(async {
            let broken = events(&body, ConnectionEnd::Close);
            let world = World::start("app", vec![broken.clone(), broken]).await?;

            let reply = world.send("/pay/x").await?;

            let looks_served = reply.is_complete && reply.status.is_success();
            verify_that!(looks_served, eq(false))?;
            verify_that!(world.received(), eq(1))
        })?;
    }
    Ok(())
}

#[gtest]
fn long_broken_events_on_an_idempotent_route_are_not_resumed() -> Result<()> {
    run_local(async {
        let body = format!("{}id: 3\nda", TWO_EVENTS.repeat(3_000));
        let broken = events(&body, ConnectionEnd::Close);
        let whole = events(TWO_EVENTS, ConnectionEnd::Close);
        let world = World::start("app", vec![broken, whole]).await?;

        let reply = world.send("/app/x").await?;

        verify_that!(reply.is_complete, eq(false))?;
        verify_that!(world.received(), eq(1))
    })
}

#[gtest]
fn unframed_answer_that_is_reset_is_repeated_on_an_idempotent_route() -> Result<()> {
    run_local(async {
        let broken = RawReply::new("200 OK", &[], "half an", ConnectionEnd::Reset);
        let whole = RawReply::new("200 OK", &[], "a whole answer", ConnectionEnd::Close);
        let world = World::start("app", vec![broken, whole]).await?;

        let reply = world.send("/app/x").await?;

        verify_that!(reply.status, eq(StatusCode::OK))?;
        verify_that!(reply.is_complete, eq(true))?;
        verify_that!(reply.text(), eq("a whole answer"))
    })
}

#[gtest]
fn unframed_answer_that_is_reset_on_a_route_that_runs_once_is_neither_repeated_nor_complete()
-> Result<()> {
    run_local(async {
        let broken = RawReply::new("200 OK", &[], "half an", ConnectionEnd::Reset);
        let world = World::start("app", vec![broken.clone(), broken]).await?;

        let reply = world.send("/pay/x").await?;

        verify_that!(reply.is_complete && reply.status.is_success(), eq(false))?;
        verify_that!(world.received(), eq(1))
    })
}

#[gtest]
fn unframed_failure_is_repeated_on_an_idempotent_route() -> Result<()> {
    run_local(async {
        let failed = RawReply::new("500 Failed", &[], "out of luck", ConnectionEnd::Close);
        let whole = RawReply::new("200 OK", &[], "a whole answer", ConnectionEnd::Close);
        let world = World::start("app", vec![failed, whole]).await?;

        let reply = world.send("/app/x").await?;

        verify_that!(reply.status, eq(StatusCode::OK))?;
        verify_that!(reply.text(), eq("a whole answer"))
    })
}

#[gtest]
fn long_unframed_answer_reaches_its_caller_whole() -> Result<()> {
    run_local(async {
        // More than a gateway buffers before it relays.
        let body = "0123456789abcdef".repeat(20_000);
        let whole = RawReply::new("200 OK", &[], &body, ConnectionEnd::Close);
        let world = World::start("app", vec![whole]).await?;

        let reply = world.send("/app/x").await?;

        verify_that!(reply.is_complete, eq(true))?;
        verify_that!(reply.text() == body, eq(true))
    })
}

#[gtest]
fn crash_in_the_middle_of_any_answer_counts_for_the_quarantine_of_its_request() -> Result<()> {
    let partial = format!("{TWO_EVENTS}id: 3\nda");
    let cut_short = RawReply::new(
        "200 OK",
        &["Content-Length: 99"],
        "half an",
        ConnectionEnd::Crash,
    );
    let cases = [
        ("llm", "/chat/x", events(&partial, ConnectionEnd::Crash)),
        ("llm", "/chat/x", events("", ConnectionEnd::Crash)),
        ("app", "/pay/x", cut_short),
    ];
    for (service, path, reply) in cases {
        let crashes = crashes_recorded_after(service, path, reply)?;
        verify_that!(crashes, eq(1))?;
    }
    Ok(())
}

/// Returns how many crashes a gateway counts for a request that one endpoint answers with `reply`.
fn crashes_recorded_after(service: &str, path: &str, reply: RawReply) -> Result<u32> {
    run_local(async {
        let world = World::start(service, vec![reply]).await?;
        world.send(path).await?;
        let crashes = || world.gateway.with(|view| view.suspects.crashes_max());
        wait_until("the crash is recorded", || crashes() > 0).await;
        Ok(crashes())
    })
}

/// Sends a request in HTTP/1.0, whose answers end with their connection, and reads to its end.
///
/// Returns the answer's bytes and whether the connection was closed properly.
async fn reply_in_http_1_0(gateway: &Gateway, path: &str) -> Result<(String, bool)> {
    let mut stream = TcpStream::connect(gateway.settings.callers)
        .await
        .or_fail()?;
    let request = format!(
        "POST {path} HTTP/1.0\r\nHost: h.example\r\nAttempt-Id: a1\r\nModel: m0\r\n\
         Deadline-Ms: 4000\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    stream.write_all(request.as_bytes()).await.or_fail()?;
    let mut read = Vec::new();
    let ended = stream.read_to_end(&mut read).await;
    Ok((String::from_utf8_lossy(&read).into_owned(), ended.is_ok()))
}

#[gtest]
fn broken_stream_of_a_caller_in_http_1_0_ends_with_a_reset() -> Result<()> {
    run_local(async {
        let partial = format!("{TWO_EVENTS}id: 3\nda");
        let world = World::start("llm", vec![events(&partial, ConnectionEnd::Close)]).await?;
        let (reply, is_closed_properly) = reply_in_http_1_0(&world.gateway, "/chat/x").await?;
        verify_that!(reply, starts_with("HTTP/1.0 200"))?;
        verify_that!(is_closed_properly, eq(false))
    })
}

#[gtest]
fn whole_stream_of_a_caller_in_http_1_0_ends_with_a_proper_close() -> Result<()> {
    run_local(async {
        let world = World::start("llm", vec![events(TWO_EVENTS, ConnectionEnd::Close)]).await?;
        let (reply, is_closed_properly) = reply_in_http_1_0(&world.gateway, "/chat/x").await?;
        verify_that!(reply, ends_with(TWO_EVENTS))?;
        verify_that!(is_closed_properly, eq(true))
    })
}
