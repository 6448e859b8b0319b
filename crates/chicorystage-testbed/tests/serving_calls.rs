//! Calls that are not idempotent through the router's whole request path, callers that disconnect,
//! and the router's graceful stop.

mod serving_world;

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use chicorystage_api::inventory::CallerItem;
use chicorystage_api::name::VmId;
use chicorystage_api::peer::{CLAIM_ROW_PREFIX, QuarantineEntry};
use chicorystage_api::refusal::{Outcome, RefusalCode};
use chicorystage_api::work::{AttemptRequest, EndSummary, Payload};
use chicorystage_borders::http::HttpServer;
use chicorystage_borders::table::Table;
use chicorystage_testbed::calls::{CallerRequest, send};
use chicorystage_testbed::fakes::TableFault;
use chicorystaged::router::drain;
use googletest::prelude::*;
use serde_json::Value;
use serving_world::script::ConnectionFault;
use serving_world::{
    AgentAction, TOKEN, World, caller, payout_call, settings, start_world, start_world_with,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Duration, sleep, timeout};

const TIMEOUT_MS: u64 = 30_000;

fn created_answer(faults: &[ConnectionFault]) -> AgentAction {
    let frames = vec![
        Payload::Head {
            status: 201,
            content_type: "text/plain".into(),
        },
        Payload::Body("cG9zdGVk".into()),
        Payload::End(EndSummary::default()),
    ];
    AgentAction::Answer(frames, faults.to_vec())
}

async fn claim_outcome(world: &World, key: &str) -> Value {
    let row = format!("{CLAIM_ROW_PREFIX}field-agents/{key}");
    let row = world.table.get(&row).await.unwrap().unwrap();
    let row: Value = serde_json::from_str(&row.value).unwrap();
    row["outcome"]["kind"].clone()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn repeat_of_a_call_gets_the_recorded_answer() {
    let world = start_world(2, |_: &AttemptRequest, _: &VmId| created_answer(&[])).await;
    for _ in 0..3 {
        let request = payout_call("k1", TIMEOUT_MS);
        let answer = world.dispatcher().whole(request).await.unwrap();
        expect_that!(answer.status, eq(201));
        expect_that!(&*answer.body, eq(b"posted"));
        sleep(Duration::from_millis(50)).await;
    }
    expect_that!(world.agents.started_attempts().len(), eq(1));
    let claim = world.agents.started_attempts()[0].1.claim.clone();
    expect_that!(claim, some(anything()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn call_runs_to_its_end_after_its_caller_disconnects() {
    let world = start_world(1, |_: &AttemptRequest, _: &VmId| {
        created_answer(&[ConnectionFault::Silent(1)])
    });
    let world = world.await;
    let request = payout_call("k1", TIMEOUT_MS);
    let timed_out = timeout(
        Duration::from_millis(100),
        world.dispatcher().whole(request),
    );
    expect_that!(timed_out.await.is_err(), is_true());
    expect_that!(claim_outcome(&world, "k1").await, eq(&Value::from("open")));
    sleep(Duration::from_secs(5)).await;
    expect_that!(world.agents.cancelled_attempts(), is_empty());
    let outcome = claim_outcome(&world, "k1").await;
    expect_that!(outcome, eq(&Value::from("answered")));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn call_is_not_sent_when_its_claim_cannot_be_stored() {
    let world = start_world(2, |_: &AttemptRequest, _: &VmId| created_answer(&[])).await;
    world.table.set_fault(TableFault::Down);
    let request = payout_call("k1", TIMEOUT_MS);
    let refused = world.dispatcher().whole(request).await;
    expect_that!(refused.is_err(), is_true());
    expect_that!(world.agents.started_attempts(), is_empty());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn early_refusal_of_a_repeat_is_not_reported_as_not_run() {
    let limited = CallerItem {
        concurrent_max: 1,
        ..caller()
    };
    let world = start_world_with(1, limited, |_: &AttemptRequest, _: &VmId| {
        created_answer(&[])
    })
    .await;
    let dispatcher = world.dispatcher();
    dispatcher
        .whole(payout_call("k1", TIMEOUT_MS))
        .await
        .unwrap();
    sleep(Duration::from_millis(50)).await;
    let quarantine = QuarantineEntry {
        digest: world.agents.started_attempts()[0].1.digest.clone(),
        active: true,
        crashes: 2,
        reason: "test".into(),
        decided_unix_ms: 1,
    };
    world.parts.handle.merge_quarantine(vec![quarantine]).await;
    let repeat = dispatcher.whole(payout_call("k1", TIMEOUT_MS)).await;
    let repeat = repeat.unwrap_err();
    expect_that!(repeat.code, eq(RefusalCode::Quarantined));
    expect_that!(repeat.outcome, eq(Outcome::MayHaveRun));

    let bad_timeout = dispatcher
        .whole(payout_call("k1", u64::MAX))
        .await
        .unwrap_err();
    expect_that!(bad_timeout.code, eq(RefusalCode::BadTimeout));
    expect_that!(bad_timeout.outcome, eq(Outcome::MayHaveRun));

    let head = payout_call("k1", TIMEOUT_MS).head;
    let _entered = dispatcher.enter(&head, Some(1)).await.unwrap();
    let limited = dispatcher.enter(&head, Some(1)).await.unwrap_err();
    expect_that!(limited.code, eq(RefusalCode::ConcurrencyLimited));
    expect_that!(limited.outcome, eq(Outcome::MayHaveRun));
}

async fn post(address: SocketAddr, request: &CallerRequest) -> Option<Bytes> {
    let stream = TcpStream::connect(address).await.ok()?;
    let answer = send(stream, request).await.ok()?;
    answer.is_served().then(|| answer.text().into())
}

#[gtest]
#[tokio::test]
async fn leaving_router_keeps_serving_finishes_running_requests_and_then_refuses_connections() {
    let words = ["a "; 100];
    let world = start_world(1, move |_: &AttemptRequest, _: &VmId| {
        AgentAction::answer(&words)
    })
    .await;
    let server = HttpServer::bind("127.0.0.1:0".parse().unwrap()).await;
    let server = server.unwrap();
    let address = server.address();
    let running = server.start(Arc::clone(&world.parts.caller_api));
    let stream = CallerRequest::streamed(TOKEN, "moisture", "long", 100);
    let whole = CallerRequest::completion(TOKEN, "moisture", "whole", 100);
    let early = async { tokio::join!(post(address, &stream), post(address, &whole)) };
    let late = async {
        sleep(Duration::from_millis(200)).await;
        expect_that!(world.parts.handle.status().await.unwrap().ready, is_false());
        post(address, &whole).await
    };
    let leaving = async {
        sleep(Duration::from_millis(100)).await;
        let mut router_settings = settings();
        router_settings.drain_lag_ms = 400;
        router_settings.drain_max_ms = 60_000;
        drain::shut_down(&world.parts.handle, running, &router_settings).await;
        let status = world.parts.handle.status().await.unwrap();
        expect_that!(status.in_progress, eq(0));
    };
    let (early, late, ()) = tokio::join!(early, late, leaving);
    let text = Some(Bytes::from(words.concat()));
    expect_that!(early, eq(&(text.clone(), text.clone())));
    expect_that!(late, eq(&text));
    expect_that!(post(address, &whole).await, none());
    expect_that!(
        world.parts.handle.status().await.unwrap().in_progress,
        eq(0)
    );
}

async fn start_server(world: &World) -> (SocketAddr, chicorystage_borders::http::RunningServer) {
    let server = HttpServer::bind("127.0.0.1:0".parse().unwrap()).await;
    let server = server.unwrap();
    let address = server.address();
    (address, server.start(Arc::clone(&world.parts.caller_api)))
}

/// Sends a request and returns the open connection without reading from it.
async fn send_only(address: SocketAddr, body: &str, timeout_ms: u64) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: localhost\r\nauthorization: Bearer {TOKEN}\r\n\
         x-request-timeout-ms: {timeout_ms}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

async fn wait_until_idle(world: &World) {
    while world.parts.handle.status().await.unwrap().in_progress > 0 {
        sleep(Duration::from_millis(20)).await;
    }
}

#[gtest]
#[tokio::test]
async fn request_of_a_caller_that_stops_reading_is_cancelled() {
    let part = "x".repeat(1 << 20);
    let script = move |_: &AttemptRequest, _: &VmId| AgentAction::answer(&[part.as_str(); 60]);
    let world = start_world(1, script).await;
    let (address, _running) = start_server(&world).await;
    let body = r#"{"model":"moisture","prompt":"long","stream":true}"#;
    let _unread = send_only(address, body, 1_500).await;
    sleep(Duration::from_secs(1)).await;
    expect_that!(
        world.parts.handle.status().await.unwrap().in_progress,
        eq(1)
    );
    wait_until_idle(&world).await;
    expect_that!(world.agents.cancelled_attempts().len(), eq(1));
}

#[gtest]
#[tokio::test]
async fn caller_disconnect_before_the_answer_cancels_the_attempt() {
    let stalls = |_: &AttemptRequest, _: &VmId| {
        AgentAction::answer_with_faults(&["fine"], &[ConnectionFault::Stalls(0)])
    };
    let world = start_world(1, stalls).await;
    let (address, _running) = start_server(&world).await;
    let body = r#"{"model":"moisture","prompt":"whole"}"#;
    let connection = send_only(address, body, 60_000).await;
    while world.agents.started_attempts().is_empty() {
        sleep(Duration::from_millis(20)).await;
    }
    drop(connection);
    wait_until_idle(&world).await;
    expect_that!(world.agents.cancelled_attempts().len(), eq(1));
}
