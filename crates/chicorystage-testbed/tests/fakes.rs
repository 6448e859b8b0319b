//! The fakes keep the platform's guarantees and fail in the ways that a test injects.

use std::sync::Arc;
use std::time::Duration;

use chicorystage_api::inventory::Class;
use chicorystage_api::name::Digest;
use chicorystage_api::work::ServiceCall;
use chicorystage_borders::BorderErrorKind;
use chicorystage_borders::engine::{
    CompletionStart, Engine, EngineEvent, EngineStream, Order, OrderKind,
};
use chicorystage_borders::service::Service;
use chicorystage_borders::table::{Table, Transaction, Write};
use chicorystage_testbed::fakes::{
    EngineFault, FakeEngine, FakeEngineConfig, FakeService, FakeTable, FakeWeightStore, FetchKind,
    ServiceFault, TableFault, WeightStore,
};
use googletest::prelude::*;
use tokio::time::{Instant, sleep};

fn load_order(fence: u64, model: &str) -> Order {
    Order {
        fence,
        kind: OrderKind::Load {
            model: model.into(),
            version: "v1".into(),
            memory_bytes: 8 << 30,
        },
    }
}

fn completion(stream_id: &str, class: Class) -> CompletionStart {
    CompletionStart {
        stream_id: stream_id.into(),
        model: "moisture".into(),
        version: "v1".into(),
        adapter: None,
        prompt: "is lot 12 dry".into(),
        max_tokens: 8,
        class,
        digest: Digest::from("d"),
    }
}

async fn read_offsets(mut stream: EngineStream) -> (Vec<u64>, bool) {
    let mut offsets = Vec::new();
    while let Some(event) = stream.recv().await {
        match event {
            EngineEvent::Token { offset_tokens, .. } => offsets.push(offset_tokens),
            EngineEvent::Done { .. } => return (offsets, true),
            EngineEvent::Failed { .. } => break,
        }
    }
    (offsets, false)
}

async fn engine_with_model() -> FakeEngine {
    let engine = FakeEngine::new(FakeEngineConfig::default());
    engine
        .order(load_order(5, "moisture"))
        .await
        .expect("loads");
    engine
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn engine_rejects_stale_fence_unless_enforcement_is_disabled() {
    let engine = engine_with_model().await;
    expect_that!(engine.order(load_order(4, "other")).await, err(anything()));
    let config = FakeEngineConfig {
        fence_enforced: false,
        ..FakeEngineConfig::default()
    };
    let unfenced = FakeEngine::new(config);
    unfenced
        .order(load_order(5, "moisture"))
        .await
        .expect("loads");
    expect_that!(unfenced.order(load_order(4, "other")).await, ok(anything()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn crashed_engine_restarts_empty_with_a_new_run_number() {
    let engine = engine_with_model().await;
    engine.inject(EngineFault::CrashMidAnswer { tokens: 3 });
    let stream = engine.start(completion("a", Class::Standard)).await;
    expect_that!(
        read_offsets(stream.expect("starts")).await,
        eq(&(vec![0, 1, 2], false))
    );
    expect_that!(engine.status().await, err(anything()));
    sleep(Duration::from_secs(1)).await;
    let status = engine.status().await.expect("is up again");
    expect_that!(status.engine_run, eq(2));
    expect_that!(status.replicas, is_empty());
    expect_that!(engine.resume("a", 3).await, err(anything()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn late_orders_and_orders_with_lost_answers_still_take_effect() {
    let engine = FakeEngine::new(FakeEngineConfig::default());
    engine.inject(EngineFault::LostOrderAnswers { orders: 1 });
    let lost = engine
        .order(load_order(1, "moisture"))
        .await
        .expect_err("is lost");
    expect_that!(lost.kind(), eq(BorderErrorKind::Unknown));
    expect_that!(engine.report().loads.len(), eq(1));

    engine.inject(EngineFault::LateOrder { delay_ms: 300 });
    let late = engine
        .order(load_order(1, "other"))
        .await
        .expect_err("is late");
    expect_that!(late.kind(), eq(BorderErrorKind::Unknown));
    expect_that!(engine.report().loads.len(), eq(1));
    sleep(Duration::from_secs(2)).await;
    expect_that!(engine.report().loads.len(), eq(2));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn cut_stream_resumes_at_its_offset() {
    let engine = engine_with_model().await;
    let mut stream = engine
        .start(completion("a", Class::Standard))
        .await
        .expect("starts");
    expect_that!(stream.recv().await, some(anything()));
    engine.inject(EngineFault::CutStreams);
    let (rest, is_complete) = read_offsets(stream).await;
    expect_that!(is_complete, is_false());
    let next = 1 + rest.len() as u64;
    let resumed = engine.resume("a", next).await.expect("is known");
    expect_that!(
        read_offsets(resumed).await,
        eq(&((next..8).collect(), true))
    );
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn batch_slots_are_assigned_by_class() {
    let config = FakeEngineConfig {
        batch_slots: 1,
        ..FakeEngineConfig::default()
    };
    let engine = FakeEngine::new(config);
    engine
        .order(load_order(1, "moisture"))
        .await
        .expect("loads");
    let first = engine
        .start(completion("a", Class::Batch))
        .await
        .expect("starts");
    let batch = engine
        .start(completion("b", Class::Batch))
        .await
        .expect("queues");
    let interactive = engine
        .start(completion("c", Class::Interactive))
        .await
        .expect("queues");
    read_offsets(first).await;
    let start = Instant::now();
    read_offsets(interactive).await;
    let interactive_ms = start.elapsed().as_millis();
    read_offsets(batch).await;
    expect_that!(start.elapsed().as_millis(), gt(interactive_ms));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn service_counts_runs_also_of_calls_whose_answer_is_lost() {
    let service = FakeService::new(5);
    let call = || ServiceCall {
        application: "libro-socios".into(),
        method: "POST".into(),
        path: "/payouts".into(),
        content_type: "".into(),
        body_base64: "eA==".into(),
        idempotent: false,
    };
    service.inject(ServiceFault::DiesBefore);
    expect_that!(service.call(call()).await, err(anything()));
    expect_that!(service.runs(), is_empty());
    service.inject(ServiceFault::LostAnswer);
    expect_that!(service.call(call()).await, err(anything()));
    expect_that!(service.runs().values().sum::<u32>(), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn table_applies_unanswered_commits_and_drops_lost_ones() {
    let table = FakeTable::new();
    let write = |key: &str| Transaction {
        id: key.into(),
        checks: Vec::new(),
        writes: vec![Write {
            key: key.into(),
            value: Some("x".into()),
        }],
    };
    table.set_fault(TableFault::UnansweredPrefix {
        prefix: "claim/".into(),
    });
    expect_that!(table.commit(write("claim/a")).await, err(anything()));
    expect_that!(table.commit(write("other/a")).await, ok(anything()));
    expect_that!(table.get("claim/a").await, ok(some(anything())));
    table.set_fault(TableFault::LostNext { commits: 1 });
    expect_that!(table.commit(write("claim/b")).await, err(anything()));
    expect_that!(table.get("claim/b").await, ok(none()));
    expect_that!(table.commit(write("claim/b")).await, ok(anything()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn weight_store_slows_down_beyond_its_limits() {
    let store = Arc::new(FakeWeightStore::new());
    let start = Instant::now();
    let fetches = (0..60).map(|_| {
        let store = Arc::clone(&store);
        tokio::spawn(async move { store.fetch(FetchKind::Adapter, 10).await })
    });
    for fetch in fetches.collect::<Vec<_>>() {
        fetch.await.expect("no panic");
    }
    expect_that!(start.elapsed().as_millis(), ge(20));

    let start = Instant::now();
    let loads = (0..8).map(|_| {
        let store = Arc::clone(&store);
        tokio::spawn(async move { store.fetch(FetchKind::Model, 100).await })
    });
    for load in loads.collect::<Vec<_>>() {
        load.await.expect("no panic");
    }
    // Four loads start at once, the others a quarter of a second apart.
    expect_that!(start.elapsed().as_millis(), ge(1_100));
}
