//! What endpoints say of themselves in answers: that they leave, or want no request for a time.

mod raw_world;

use std::time::Duration;

use chicorystage_testbed::users_platform::{ConnectionEnd, RawReply, run_local, wait_until};
use googletest::prelude::*;
use http::StatusCode;
use tokio::time::Instant;

use crate::raw_world::{TWO_EVENTS, World};

/// Requests that follow the word of an endpoint.
const REQUESTS: usize = 12;
/// Time that endpoints name, longer than any request waits, in seconds.
const HOLD_S: u64 = 20;
/// Time in which requests that cannot be served are refused, all together.
const REFUSED_MS: u64 = 800;

fn answered(headers: &[&str]) -> RawReply {
    let all = [headers, &["Content-Length: 2"]].concat();
    RawReply::new("200 OK", &all, "ok", ConnectionEnd::Silence)
}

fn turned_away() -> RawReply {
    let after = format!("Retry-After: {HOLD_S}");
    let headers = ["Not-Executed: 1", after.as_str(), "Content-Length: 0"];
    RawReply::new(
        "503 Service Unavailable",
        &headers,
        "",
        ConnectionEnd::Silence,
    )
}

fn received(world: &World) -> Vec<usize> {
    let endpoints = world.endpoints.iter();
    endpoints
        .map(|endpoint| endpoint.received_heads().len())
        .collect()
}

#[gtest]
fn endpoint_that_says_in_an_answer_that_it_leaves_gets_no_new_request() -> Result<()> {
    run_local(async {
        let replies = vec![answered(&["Server-Leaving: 1"]), answered(&[])];
        let world = World::start("app", replies).await?;
        for _ in 0..REQUESTS {
            verify_that!(world.send("/pay/x").await?.status, eq(StatusCode::OK))?;
        }
        verify_that!(received(&world)[0], le(1))
    })
}

#[gtest]
fn endpoint_that_turned_a_request_away_for_a_time_gets_none_before() -> Result<()> {
    run_local(async {
        let world = World::start("app", vec![turned_away(), answered(&[])]).await?;
        for _ in 0..REQUESTS {
            verify_that!(world.send("/pay/x").await?.status, eq(StatusCode::OK))?;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        verify_that!(received(&world)[0], le(1))
    })
}

#[gtest]
fn request_is_refused_at_once_until_the_time_that_all_endpoints_have_named() -> Result<()> {
    run_local(async {
        let world = World::start("app", vec![turned_away()]).await?;
        let _first = world.send("/pay/x").await?;
        let start = Instant::now();
        for _ in 0..REQUESTS {
            let reply = world.send("/pay/x").await?;
            verify_that!(reply.status, eq(StatusCode::SERVICE_UNAVAILABLE))?;
            let after_s: f64 = reply.header("retry-after").parse().or_fail()?;
            verify_that!(after_s, gt(0.0))?;
        }
        verify_that!(start.elapsed(), lt(Duration::from_millis(REFUSED_MS)))?;
        verify_that!(received(&world)[0], eq(1))
    })
}

#[gtest]
fn request_that_gets_no_token_of_a_limit_in_time_is_refused_at_once_by_the_lease_holder()
-> Result<()> {
    run_local(async {
        let headers = ["Content-Type: text/event-stream", "Server-Limit: 0.2"];
        let limited = RawReply::new("200 OK", &headers, TWO_EVENTS, ConnectionEnd::Close);
        let world = World::start("llm", vec![limited]).await?;
        wait_until("the gateway holds the lease", || {
            world.gateway.order_epoch().is_some()
        })
        .await;
        verify_that!(world.send("/long/x").await?.status, eq(StatusCode::OK))?;
        for _ in 0..REQUESTS {
            let start = Instant::now();
            let reply = world.send("/long/x").await?;
            verify_that!(start.elapsed(), lt(Duration::from_millis(REFUSED_MS)))?;
            verify_that!(reply.status, eq(StatusCode::SERVICE_UNAVAILABLE))?;
        }
        Ok(())
    })
}
