//! Streams that break off, and how their framing shows it.

use chicorystage_testbed::users_platform::{ConnectionEnd, RawReply};
use googletest::prelude::*;
use http::StatusCode;

use crate::raw_world::{TWO_EVENTS, events, stream_reply};

// Incident ORDER on altiplano-miel, 2026-12-04.
#[gtest]
fn close_delimited_stream_that_closes_within_an_event_reaches_its_caller_as_broken_off()
-> Result<()> {
    let body = format!("{TWO_EVENTS}id: 3\ndata: e");
    let reply = stream_reply("/chat/x", events(&body, ConnectionEnd::Close))?;
    verify_that!(reply.is_complete, eq(false))
}

#[gtest]
fn stream_with_a_length_that_ends_within_an_event_reaches_its_caller_as_broken_off() -> Result<()> {
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
fn close_delimited_stream_that_is_reset_reaches_its_caller_as_broken_off() -> Result<()> {
    for path in ["/chat/x", "/long/x"] {
        let reply = stream_reply(path, events(TWO_EVENTS, ConnectionEnd::Reset))?;
        verify_that!(reply.is_complete, eq(false)).with_failure_message(|| path.to_owned())?;
    }
    Ok(())
}

#[gtest]
fn close_delimited_stream_that_closes_after_an_event_reaches_its_caller_whole() -> Result<()> {
    for path in ["/chat/x", "/long/x"] {
        let reply = stream_reply(path, events(TWO_EVENTS, ConnectionEnd::Close))?;
        verify_that!(reply.is_complete, eq(true)).with_failure_message(|| path.to_owned())?;
        verify_that!(reply.text(), eq(TWO_EVENTS))?;
    }
    Ok(())
}

#[gtest]
fn close_delimited_stream_without_an_event_reaches_its_caller_as_broken_off() -> Result<()> {
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
