//! Endpoints that send bytes without end: every caller gets an end, and every connection is closed.

mod raw_world;

use bytes::Bytes;
use chicorystage_testbed::users_platform::{
    CallerReply, ConnectionEnd, RawReply, run_local, wait_until,
};
use googletest::prelude::*;
use http::StatusCode;
use raw_world::{World, events};

/// Deadline of the callers, in milliseconds.
const DEADLINE_MS: u64 = 700;
/// Largest number of bytes that a gateway may read of what cannot be an answer, with what the
/// sockets' buffers hold.
const JUNK_BYTES_MAX: u64 = 16 << 20;
/// Pauses between the repeated bytes, in milliseconds: none, and short enough to never fall silent.
const PAUSES_MS: [u64; 2] = [0, 5];

/// Sends a request whose caller waits for [`DEADLINE_MS`].
async fn send(world: &World, path: &str) -> Result<CallerReply> {
    world.send_with_deadline(path, DEADLINE_MS).await
}

/// Repeats bytes in parts of at least 16 KiB where there is no pause.
fn repeat(bytes: &str, pause_ms: u64) -> ConnectionEnd {
    let times = if pause_ms == 0 {
        (16 << 10) / bytes.len() + 1
    } else {
        1
    };
    ConnectionEnd::Repeat {
        bytes: Bytes::from(bytes.repeat(times)),
        pause_ms,
    }
}

/// Returns an answer without any framed part: these bytes, then others without end.
fn junk(begin: &str, repeated: &str, pause_ms: u64) -> RawReply {
    RawReply {
        bytes: begin.to_owned(),
        end: repeat(repeated, pause_ms),
    }
}

/// Sends a request that an endless answer meets, and returns what the caller got and how many
/// bytes the endpoint could send.
fn reply_to_endless(service: &str, path: &str, reply: RawReply) -> Result<(CallerReply, u64)> {
    run_local(async {
        let world = World::start(service, vec![reply]).await?;
        let reply = send(&world, path).await?;
        world.wait_until_closed().await;
        Ok((reply, world.endpoints[0].repeated_bytes()))
    })
}

#[gtest]
fn head_without_end_is_a_lost_answer() -> Result<()> {
    for pause_ms in PAUSES_MS {
        let head = junk(
            "HTTP/1.1 200 OK\r\n",
            "X-Junk: 0123456789abcdef\r\n",
            pause_ms,
        );
        for (service, path) in [("app", "/pay/x"), ("llm", "/chat/x")] {
            let (reply, sent_bytes) = reply_to_endless(service, path, head.clone())?;
            verify_that!(reply.status.is_server_error(), eq(true))?;
            verify_that!(sent_bytes, le(JUNK_BYTES_MAX))?;
        }
    }
    Ok(())
}

#[gtest]
fn bytes_without_end_that_are_no_head_are_a_lost_answer() -> Result<()> {
    for pause_ms in PAUSES_MS {
        let (reply, sent_bytes) =
            reply_to_endless("app", "/pay/x", junk("", "\u{1}junk\u{2}", pause_ms))?;
        verify_that!(reply.status.is_server_error(), eq(true))?;
        verify_that!(sent_bytes, le(JUNK_BYTES_MAX))?;
    }
    Ok(())
}

#[gtest]
fn interim_answers_without_end_are_a_lost_answer() -> Result<()> {
    let interim = junk("", "HTTP/1.1 102 Processing\r\n\r\n", 5);
    let (reply, sent_bytes) = reply_to_endless("app", "/pay/x", interim)?;
    verify_that!(reply.status.is_server_error(), eq(true))?;
    verify_that!(sent_bytes, le(JUNK_BYTES_MAX))
}

#[gtest]
fn interim_answers_without_end_or_pause_are_read_only_so_far() -> Result<()> {
    run_local(async {
        let interim = junk("", "HTTP/1.1 102 Processing\r\n\r\n", 0);
        let world = World::start("llm", vec![interim]).await?;
        // Long enough that any machine reads more than the bound, if nothing ends it before.
        let reply = world.send_with_deadline("/long/x", 12_000).await?;
        world.wait_until_closed().await;
        verify_that!(reply.status.is_server_error(), eq(true))?;
        verify_that!(world.endpoints[0].repeated_bytes(), le(JUNK_BYTES_MAX))
    })
}

#[gtest]
fn stream_whose_event_has_no_end_is_broken_off() -> Result<()> {
    for path in ["/chat/x", "/long/x"] {
        for pause_ms in PAUSES_MS {
            let body = repeat("data: 0123456789abcdef\n", pause_ms);
            let (reply, sent_bytes) = reply_to_endless("llm", path, events("", body))?;
            verify_that!(reply.is_complete, eq(false))?;
            verify_that!(reply.text(), eq(""))?;
            verify_that!(sent_bytes, le(JUNK_BYTES_MAX))?;
        }
    }
    Ok(())
}

#[gtest]
fn resumable_stream_whose_event_has_no_end_goes_on_at_another_engine() -> Result<()> {
    for pause_ms in PAUSES_MS {
        run_local(async {
            let body = repeat("data: 0123456789abcdef\n", pause_ms);
            let whole = events("data: a\n\n", ConnectionEnd::Close);
            let world = World::start("llm", vec![events("", body), whole]).await?;
            let reply = world.send_with_deadline("/long/x", 15_000).await?;
            verify_that!(reply.text(), eq("data: a\n\n"))?;
            verify_that!(reply.is_complete, eq(true))
        })?;
    }
    Ok(())
}

#[gtest]
fn stream_of_events_without_end_is_broken_off_at_the_deadline() -> Result<()> {
    for path in ["/chat/x", "/long/x"] {
        for pause_ms in PAUSES_MS {
            let body = repeat("data: 0123456789abcdef\n\n", pause_ms);
            let (reply, _sent_bytes) = reply_to_endless("llm", path, events("", body))?;
            verify_that!(reply.is_complete, eq(false))?;
            verify_that!(reply.text(), starts_with("data: "))?;
        }
    }
    Ok(())
}

#[gtest]
fn body_without_end_is_broken_off_at_the_deadline() -> Result<()> {
    for pause_ms in PAUSES_MS {
        for path in ["/pay/x", "/app/x"] {
            let body = RawReply::new("200 OK", &[], "", repeat("0123456789abcdef", pause_ms));
            let (reply, _sent_bytes) = reply_to_endless("app", path, body)?;
            let looks_served = reply.is_complete && reply.status.is_success();
            verify_that!(looks_served, eq(false))?;
        }
    }
    Ok(())
}

#[gtest]
fn refusal_whose_body_has_no_end_is_a_refusal_at_once() -> Result<()> {
    for pause_ms in [0, 5, 60_000] {
        let refusal = RawReply::new(
            "503 Busy",
            &["Not-Executed: 1"],
            "",
            repeat("0123456789abcdef", pause_ms),
        );
        let (reply, sent_bytes) = reply_to_endless("app", "/pay/x", refusal)?;
        verify_that!(reply.status, eq(StatusCode::SERVICE_UNAVAILABLE))?;
        verify_that!(sent_bytes, le(JUNK_BYTES_MAX))?;
    }
    Ok(())
}

#[gtest]
fn bytes_without_end_after_a_whole_answer_belong_to_no_request() -> Result<()> {
    for pause_ms in PAUSES_MS {
        let answer = RawReply::new(
            "200 OK",
            &["Content-Length: 5"],
            "whole",
            repeat("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", pause_ms),
        );
        let (reply, sent_bytes) = reply_to_endless("app", "/pay/x", answer)?;
        verify_that!(reply.text(), eq("whole"))?;
        verify_that!(reply.is_complete, eq(true))?;
        verify_that!(sent_bytes, le(JUNK_BYTES_MAX))?;
    }
    Ok(())
}

#[gtest]
fn engine_whose_report_has_no_end_is_read_only_so_far() -> Result<()> {
    for pause_ms in PAUSES_MS {
        run_local(async {
            let answer = events("data: a\n\n", ConnectionEnd::Close);
            let world = World::start("llm", vec![answer]).await?;
            let report = RawReply::new("200 OK", &[], "{", repeat("0123456789abcdef", pause_ms));
            world.endpoints[0].set_report_reply(Some(report));
            wait_until("several reports were begun", || {
                world.endpoints[0].repeats_begun() >= 5
            })
            .await;
            verify_that!(world.endpoints[0].repeating(), le(2))?;
            world.endpoints[0].set_report_reply(None);
            world.wait_until_closed().await;
            let read_bytes_max = world.endpoints[0].repeats_begun() * JUNK_BYTES_MAX;
            verify_that!(world.endpoints[0].repeated_bytes(), le(read_bytes_max))?;
            let reply = send(&world, "/chat/x").await?;
            verify_that!(reply.text(), eq("data: a\n\n"))?;
            verify_that!(reply.is_complete, eq(true))
        })?;
    }
    Ok(())
}
