//! Slow endpoints: an answer is given up only where the request can be sent elsewhere.

use chicorystage_testbed::users_platform::{
    EndpointEmulator, EndpointEngine, PlatformFixture, Reply, run_local, send_request, wait_until,
};
use chicorystaged::gateway::shared::Gateway;
use googletest::prelude::*;
use http::{Method, StatusCode};
use serde_json::json;

const MODEL: (&str, &str) = ("model", "m0");
/// Time that a slow call takes, more than its share of the deadline, in milliseconds.
const SLOW_CALL_MS: u64 = 1_200;
const DEADLINE: (&str, &str) = ("deadline-ms", "2000");

fn events_reply(first: u32, last: u32) -> Reply {
    Reply::Events {
        first,
        last,
        pause_ms: 1,
    }
}

async fn start_engine(
    id: &str,
    reply: Reply,
    models: &[&str],
) -> std::io::Result<EndpointEmulator> {
    EndpointEmulator::start(id, reply, Some(EndpointEngine::new(models, 60))).await
}

fn event_ids(body: &str) -> Vec<u32> {
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

async fn slow_application(id: &str) -> Result<EndpointEmulator> {
    let late = Reply::Late {
        delay_ms: SLOW_CALL_MS,
        body: "late".to_owned(),
    };
    EndpointEmulator::start(id, late, None).await.or_fail()
}

/// Sends a stream whose engine brings its first event after 3.5 s, later than it is waited for; returns
/// the identities of the events that arrive, and how many requests the engine got.
async fn events_of_a_slow_engine(
    world: &PlatformFixture,
    gateway: &Gateway,
) -> Result<(Vec<u32>, usize)> {
    let slow = Reply::Events {
        first: 1,
        last: 1,
        pause_ms: 3_500,
    };
    let engine = start_engine("e1", slow, &["m0"]).await.or_fail()?;
    world.register(&engine, "llm");
    wait_until("the engine is known", || {
        gateway.with(|view| view.fleet.get(&"e1".into()).is_some_and(|e| e.is_usable(0)))
    })
    .await;
    let headers = [MODEL, ("deadline-ms", "12000")];
    let reply = send_request(gateway, Method::POST, "/long/x", &headers, "{}").await;
    let events = event_ids(&reply.or_fail()?.text());
    Ok((events, engine.received_requests().len()))
}

// Giving a slow answer up helps only if another engine can go on with it.
#[gtest]
fn slow_stream_of_the_only_engine_with_its_model_is_not_given_up() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let other = start_engine("e2", events_reply(1, 1), &["m1"])
            .await
            .or_fail()?;
        world.declare(1);
        world.register(&other, "llm");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        let (events, requests) = events_of_a_slow_engine(&world, &gateway).await?;
        verify_that!(events, elements_are![eq(&1)])?;
        verify_that!(requests, eq(1))
    })
}

#[gtest]
fn slow_stream_is_not_given_up_without_a_retry_in_the_budget() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        // In another availability zone, so that the slow one is chosen first.
        let other = start_engine("e2", events_reply(1, 1), &["m0"])
            .await
            .or_fail()?;
        world.declare(1);
        let mut entry = other.registry_entry("llm", "ready", 1);
        entry["zone"] = json!("z2");
        let entry = entry.to_string();
        world.store.put("servers", "e2", entry.as_bytes());
        let mut settings = world.settings("g1");
        (settings.retry_ratio, settings.retry_allowance) = (0.0, 0.0);
        let gateway = chicorystaged::gateway::start(settings).await.or_fail()?;
        wait_until("the gateway is ready", || gateway.is_ready()).await;
        let (events, _requests) = events_of_a_slow_engine(&world, &gateway).await?;
        verify_that!(events, elements_are![eq(&1)])?;
        verify_that!(other.received_requests().len(), eq(0))
    })
}

#[gtest]
fn slow_call_to_the_only_endpoint_is_not_given_up() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        let only = slow_application("e1").await?;
        world.declare(1);
        world.register(&only, "app");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        let reply = send_request(&gateway, Method::GET, "/app/x", &[DEADLINE], "");
        verify_that!(reply.await.or_fail()?.status, eq(StatusCode::OK))?;
        verify_that!(only.received_requests().len(), eq(1))
    })
}

#[gtest]
fn slow_call_is_sent_to_another_endpoint_that_can_take_it() -> Result<()> {
    run_local(async {
        let world = PlatformFixture::start().await.or_fail()?;
        // Among equally good endpoints the gateway chooses the first.
        let slow = slow_application("e1").await?;
        let reply = Reply::Complete {
            status: 200,
            body: "quick".to_owned(),
        };
        let quick = EndpointEmulator::start("e2", reply, None).await.or_fail()?;
        world.declare(1);
        world.register(&slow, "app");
        world.register(&quick, "app");
        let gateway = world.start_ready_gateway("g1").await.or_fail()?;
        let reply = send_request(&gateway, Method::GET, "/app/x", &[DEADLINE], "");
        verify_that!(reply.await.or_fail()?.text(), eq("quick"))
    })
}
