//! Answers that are read whole before anything is sent to the caller.

use chicorystage_testbed::users_platform::{ConnectionEnd, RawReply, run_local};
use googletest::prelude::*;
use http::StatusCode;

use crate::raw_world::{TWO_EVENTS, World, events};

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
fn close_delimited_answer_that_is_reset_is_repeated_on_an_idempotent_route() -> Result<()> {
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
fn close_delimited_answer_that_is_reset_on_a_route_that_runs_once_is_neither_repeated_nor_complete()
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
fn close_delimited_failure_is_repeated_on_an_idempotent_route() -> Result<()> {
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
fn long_close_delimited_answer_reaches_its_caller_whole() -> Result<()> {
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
