//! Endpoints that stop in the middle of an answer's head, or go on with a stream by an error.

mod raw_world;

use chicorystage_testbed::users_platform::{
    CallerReply, ConnectionEnd, RawReply, run_local, send_request,
};
use googletest::prelude::*;
use http::Method;

use crate::raw_world::{LAST_EVENT, TWO_EVENTS, World, events};

/// Text of an error that no caller of a stream may see.
const ERROR_TEXT: &str = "id: 3\ndata: upstream failed\n\n";
/// Every how many bytes a head is cut.
const CUT_STEP_BYTES: usize = 5;

/// Returns an answer that consists of a head's first bytes.
fn cut_head(head: &str, bytes: usize, end: ConnectionEnd) -> RawReply {
    RawReply {
        bytes: head[..bytes].to_owned(),
        end,
    }
}

/// Returns a whole head of a success.
fn head(headers: &[&str]) -> String {
    RawReply::new("200 OK", headers, "", ConnectionEnd::Close).bytes
}

async fn send(world: &World, path: &str, attempt: &str) -> Result<CallerReply> {
    let headers = [("attempt-id", attempt), ("model", "m0")];
    send_request(&world.gateway, Method::POST, path, &headers, "{}")
        .await
        .or_fail()
}

/// Verifies that answers whose head is cut anywhere never reach callers of a route as successes.
fn verify_cut_heads(service: &'static str, path: &'static str, headers: &[&str]) -> Result<()> {
    let head = head(headers);
    run_local(async {
        for cut in (0..head.len())
            .step_by(CUT_STEP_BYTES)
            .chain([head.len() - 1])
        {
            for end in [ConnectionEnd::Close, ConnectionEnd::Reset] {
                let world = World::start(service, vec![cut_head(&head, cut, end)]).await?;
                let reply = send(&world, path, "a1").await?;
                let is_success = reply.status.is_success();
                verify_that!(is_success && reply.is_complete, eq(false))
                    .with_failure_message(|| format!("{path}, {cut} bytes: {reply:?}"))?;
            }
        }
        Ok(())
    })
}

#[gtest]
fn call_whose_answer_stops_within_its_head_is_no_success() -> Result<()> {
    verify_cut_heads("app", "/pay/x", &["Content-Length: 2"])?;
    verify_cut_heads("app", "/app/x", &["Transfer-Encoding: chunked"])
}

#[gtest]
fn stream_whose_answer_stops_within_its_head_is_no_success() -> Result<()> {
    verify_cut_heads("llm", "/chat/x", &["Content-Type: text/event-stream"])?;
    verify_cut_heads("llm", "/long/x", &["Content-Type: text/event-stream"])
}

#[gtest]
fn stream_that_goes_on_with_an_answer_that_stops_within_its_head_is_broken_off() -> Result<()> {
    let head = head(&["Content-Type: text/event-stream"]);
    run_local(async {
        for cut in (0..head.len())
            .step_by(CUT_STEP_BYTES)
            .chain([head.len() - 1])
        {
            let broken = events(TWO_EVENTS, ConnectionEnd::Reset);
            let cut = cut_head(&head, cut, ConnectionEnd::Close);
            let world = World::start("llm", vec![broken, cut]).await?;
            let reply = send(&world, "/long/x", "a1").await?;
            verify_that!(reply.is_complete, eq(false))?;
            verify_that!(reply.text(), eq(TWO_EVENTS))?;
        }
        Ok(())
    })
}

/// Returns errors, and successes that are no stream, in each framing.
fn errors() -> Vec<RawReply> {
    let statuses = [
        "202 Accepted",
        "204 No Content",
        "206 Partial Content",
        "400 Bad Request",
        "404 Not Found",
        "421 Misdirected Request",
        "429 Too Many Requests",
        "500 Internal Server Error",
        "503 Service Unavailable",
    ];
    let mut replies = Vec::new();
    let length = format!("Content-Length: {}", ERROR_TEXT.len());
    let chunk = format!("{:x}\r\n{ERROR_TEXT}\r\n0\r\n\r\n", ERROR_TEXT.len());
    let nested = format!("HTTP/1.1 500 Error\r\n{length}\r\n\r\n{ERROR_TEXT}");
    let types = "Content-Type: text/event-stream";
    for status in statuses {
        if status.starts_with("204") {
            replies.push(RawReply::new(status, &[types], "", ConnectionEnd::Silence));
            continue;
        }
        let close = ConnectionEnd::Close;
        replies.push(RawReply::new(
            status,
            &[types, &length],
            ERROR_TEXT,
            close.clone(),
        ));
        let chunked = [types, "Transfer-Encoding: chunked"];
        replies.push(RawReply::new(status, &chunked, &chunk, close.clone()));
        replies.push(RawReply::new(status, &[types], ERROR_TEXT, close.clone()));
        replies.push(RawReply::new(status, &[types], &nested, close));
    }
    replies
}

#[gtest]
fn stream_that_has_begun_does_not_go_on_with_an_error() -> Result<()> {
    for error in errors() {
        run_local(async {
            let broken = events(TWO_EVENTS, ConnectionEnd::Reset);
            let world = World::start("llm", vec![broken, error.clone()]).await?;
            let first = send(&world, "/long/x", "a1").await?;
            verify_that!(first.is_complete, eq(false))
                .with_failure_message(|| format!("{error:?}"))?;
            verify_that!(first.text(), eq(TWO_EVENTS)).with_failure_message(|| format!("{error:?}"))
        })?;
    }
    Ok(())
}

#[gtest]
fn stream_that_has_begun_goes_on_with_events_in_each_framing() -> Result<()> {
    let length = format!("Content-Length: {}", LAST_EVENT.len());
    let chunk = format!("{:x}\r\n{LAST_EVENT}\r\n0\r\n\r\n", LAST_EVENT.len());
    let types = "Content-Type: text/event-stream";
    let rest = [
        RawReply::new(
            "200 OK",
            &[types, &length],
            LAST_EVENT,
            ConnectionEnd::Silence,
        ),
        RawReply::new(
            "200 OK",
            &[types, "Transfer-Encoding: chunked"],
            &chunk,
            ConnectionEnd::Silence,
        ),
        events(LAST_EVENT, ConnectionEnd::Close),
    ];
    for rest in rest {
        run_local(async {
            let world =
                World::start("llm", vec![events(TWO_EVENTS, ConnectionEnd::Reset), rest]).await?;
            let reply = send(&world, "/long/x", "a1").await?;
            verify_that!(reply.is_complete, eq(true))?;
            let whole = format!("{TWO_EVENTS}{LAST_EVENT}");
            verify_that!(reply.text(), eq(whole.as_str()))
        })?;
    }
    Ok(())
}

// No status has fewer than three digits or begins with 0.
#[gtest]
fn answer_with_a_status_that_is_none_reaches_no_caller() -> Result<()> {
    let headers = ["Content-Length: 2"];
    for status in [
        "000 OK", "000", "099 OK", "001 OK", "20 OK", "0200 OK", "-10 OK", "101 OK",
    ] {
        for (service, path) in [
            ("app", "/pay/x"),
            ("app", "/app/x"),
            ("llm", "/chat/x"),
            ("llm", "/long/x"),
        ] {
            let reply = RawReply::new(status, &headers, "ok", ConnectionEnd::Close);
            run_local(async {
                let world = World::start(service, vec![reply]).await?;
                let reply = send(&world, path, "a1").await?;
                let is_own_failure =
                    reply.status.is_server_error() && reply.header("response-stamp").is_empty();
                verify_that!(is_own_failure, is_true())
                    .with_failure_message(|| format!("{status} on {path}: {reply:?}"))
            })?;
        }
    }
    Ok(())
}
