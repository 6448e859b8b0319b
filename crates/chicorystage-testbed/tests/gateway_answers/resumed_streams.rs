//! Streams that break off on a route whose streams may be resumed.

use chicorystage_testbed::users_platform::{ConnectionEnd, RawReply, run_local};
use googletest::prelude::*;
use http::StatusCode;

use crate::raw_world::{LAST_EVENT, TWO_EVENTS, World, events};

#[gtest]
fn close_delimited_stream_that_closes_within_an_event_is_resumed_after_the_event_before()
-> Result<()> {
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
            // Ends as an event would.
            "{}\n\n",
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
fn stream_with_a_length_that_goes_on_close_delimited_and_without_an_event_is_broken_off()
-> Result<()> {
    run_local(async {
        let length = format!("Content-Length: {}", TWO_EVENTS.len() + LAST_EVENT.len());
        let headers = ["Content-Type: text/event-stream", length.as_str()];
        let broken = RawReply::new("200 OK", &headers, TWO_EVENTS, ConnectionEnd::Close);
        let world = World::start("llm", vec![broken, events("", ConnectionEnd::Close)]).await?;

        let reply = world.send("/long/x").await?;

        verify_that!(reply.is_complete, eq(false))?;
        verify_that!(reply.text(), eq(TWO_EVENTS))?;
        verify_that!(world.received(), eq(2))
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
fn long_close_delimited_failure_on_a_resumable_route_is_not_resumed() -> Result<()> {
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
fn close_delimited_failures_on_a_resumable_route_reach_the_caller_as_one_of_them() -> Result<()> {
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
fn close_delimited_failure_on_a_resumable_route_is_followed_by_a_whole_other_answer() -> Result<()>
{
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
