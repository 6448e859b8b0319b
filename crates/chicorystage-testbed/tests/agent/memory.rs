//! Engine memory is never overcommitted, and concurrent attempts share one load.

use std::time::Duration;

use chicorystage_api::inventory::{Class, Item, ItemRow, RuleItem, Snapshot};
use chicorystage_api::peer::ReplicaState;
use chicorystage_api::refusal::{Outcome, RefusalCode};
use chicorystage_api::work::Payload;
use chicorystage_core::rendezvous;
use chicorystage_testbed::fakes::{EngineFault, FakeEngineConfig};
use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::world::{GIB, World, address, collect_answer, completion_mut};

fn config() -> FakeEngineConfig {
    FakeEngineConfig::default()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn burst_for_one_model_causes_one_load() {
    let mut world = World::start(config(), &["a"]).await;
    let mut answers = Vec::new();
    for _ in 0..8 {
        let request = world.request("a");
        answers.push(world.send(request).await);
    }
    for frames in answers {
        expect_that!(collect_answer(frames).await.is_complete(), is_true());
    }
    expect_that!(world.engine.report().loads.get("a").copied(), some(eq(1)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn idle_model_is_evicted_for_one_that_does_not_fit_beside_it() {
    let mut world = World::start(config(), &["a", "b"]).await;
    expect_that!(world.run_completion("a").await.is_complete(), is_true());
    expect_that!(world.run_completion("b").await.is_complete(), is_true());
    let report = world.engine.report();
    expect_that!(report.overcommits, eq(0));
    expect_that!(world.ledger.current(&"a".into()), eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn load_that_waits_for_memory_in_use_is_refused_as_memory_full() {
    let mut world = World::start(config(), &["a", "b"]).await;
    let mut running = world.request("a");
    completion_mut(&mut running).max_tokens = 4_000;
    let running = world.send(running).await;
    sleep(Duration::from_secs(1)).await;
    let refused = world.run_completion("b").await;
    expect_that!(
        refused.refusal(),
        some(eq((RefusalCode::MemoryFull, Outcome::NotRun)))
    );
    expect_that!(collect_answer(running).await.is_complete(), is_true());
    expect_that!(world.engine.report().overcommits, eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn load_with_a_lost_answer_keeps_its_memory_reserved() {
    let mut world = World::start(config(), &["a", "b"]).await;
    world
        .engine
        .inject(EngineFault::LostOrderAnswers { orders: 1 });
    let refused = world.run_completion("a").await;
    expect_that!(
        refused.refusal(),
        some(eq((RefusalCode::LoadFailed, Outcome::NotRun)))
    );
    let status = world.status().await;
    expect_that!(status.memory_reserved_bytes, eq(50 * GIB));
    expect_that!(status.replicas[0].state, eq(ReplicaState::Unsettled));
    expect_that!(world.run_completion("b").await.is_complete(), is_true());
    expect_that!(world.engine.report().overcommits, eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn late_order_of_a_previous_agent_does_not_overcommit_the_engine() {
    for fence_enforced in [true, false] {
        let config = FakeEngineConfig {
            fence_enforced,
            ..config()
        };
        let mut world = World::start(config, &["a", "b"]).await;
        world
            .engine
            .inject(EngineFault::LateOrder { delay_ms: 380 });
        let request = world.request("a");
        let _frames = world.send(request).await;
        sleep(Duration::from_millis(320)).await;
        world.restart();
        let answer = world.run_completion("b").await;
        expect_that!(answer.is_complete(), is_true(), "{:?}", answer.last);
        sleep(Duration::from_secs(2)).await;
        let report = world.engine.report();
        expect_that!(report.overcommits, eq(0), "enforced: {fence_enforced}");
        expect_that!(report.double_loads, eq(0));
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn engine_crash_during_a_load_refuses_the_attempt_and_a_later_one_loads() {
    let mut world = World::start(config(), &["a"]).await;
    world.engine.inject(EngineFault::CrashMidLoad);
    let refused = world.run_completion("a").await;
    expect_that!(
        refused.refusal().map(|(_, outcome)| outcome),
        some(eq(Outcome::NotRun))
    );
    sleep(Duration::from_secs(2)).await;
    expect_that!(world.run_completion("a").await.is_complete(), is_true());
    expect_that!(world.ledger.highest(&"a".into()), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn another_version_of_a_model_replaces_the_loaded_one() {
    let mut world = World::start(config(), &["a"]).await;
    expect_that!(world.run_completion("a").await.is_complete(), is_true());
    let mut request = world.request("a");
    completion_mut(&mut request).version = "v2".into();
    completion_mut(&mut request).model_memory_bytes = 10 * GIB;
    expect_that!(
        collect_answer(world.send(request).await)
            .await
            .is_complete(),
        is_true()
    );
    expect_that!(world.ledger.highest(&"a".into()), eq(1));
    expect_that!(world.engine.report().double_loads, eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_adapter_is_loaded_once_and_evicted_for_a_model() {
    let mut world = World::start(config(), &["a", "b"]).await;
    let mut answers = Vec::new();
    for _ in 0..4 {
        let mut request = world.request("a");
        completion_mut(&mut request).adapter = Some("tone".into());
        completion_mut(&mut request).adapter_memory_bytes = 20 * GIB;
        answers.push(world.send(request).await);
    }
    for frames in answers {
        expect_that!(collect_answer(frames).await.is_complete(), is_true());
    }
    let status = world.status().await;
    expect_that!(status.memory_reserved_bytes, eq(70 * GIB));
    expect_that!(status.replicas[0].adapters, len(eq(1)));
    let mut request = world.request("b");
    completion_mut(&mut request).model_memory_bytes = 25 * GIB;
    expect_that!(
        collect_answer(world.send(request).await)
            .await
            .is_complete(),
        is_true()
    );
    let status = world.status().await;
    expect_that!(status.memory_reserved_bytes, eq(75 * GIB));
    expect_that!(world.engine.report().overcommits, eq(0));
    expect_that!(world.ledger.current(&"a".into()), eq(1));
}

/// Returns an inventory with one rule for model `a`.
fn inventory_with_rule(keep_alive_min_ms: u64, keep_alive_max_ms: u64) -> Snapshot {
    let rule = RuleItem {
        model: "a".into(),
        owner: "field".into(),
        replicas_max: 1,
        keep_alive_min_ms,
        keep_alive_max_ms,
    };
    Snapshot {
        revision: 1,
        rows: vec![ItemRow {
            item: Item::Rule(rule),
            revision: 1,
            change_id: "c".into(),
            operator: "root".into(),
        }],
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_idle_replica_is_unloaded_after_its_keep_alive() {
    let mut world = World::start(config(), &["a"]).await;
    world
        .router
        .set_inventory(inventory_with_rule(55_000, 60_000));
    sleep(Duration::from_secs(2)).await;
    expect_that!(world.status().await.revision, eq(1));
    expect_that!(world.run_completion("a").await.is_complete(), is_true());
    sleep(Duration::from_secs(50)).await;
    expect_that!(world.ledger.current(&"a".into()), eq(1));
    let status = world.status().await;
    expect_that!(status.replicas[0].idle_ms, gt(49_000));
    sleep(Duration::from_secs(12)).await;
    expect_that!(world.ledger.current(&"a".into()), eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn regularly_requested_model_is_loaded_ahead_of_use() {
    let config = FakeEngineConfig {
        load_memory_ms: 2_000,
        ..config()
    };
    let mut world = World::start(config, &["a"]).await;
    world
        .router
        .set_inventory(inventory_with_rule(1_000, 120_000));
    sleep(Duration::from_secs(2)).await;
    let mut cold_starts = 0;
    for i in 0..20 {
        let answer = world.run_completion("a").await;
        let Payload::End(summary) = answer.last else {
            panic!("round {i}: {:?}", answer.last);
        };
        cold_starts += u32::from(summary.cold_start_ms > 0);
        sleep(Duration::from_mins(1)).await;
    }
    expect_that!(cold_starts, le(4));
    let loads = world.engine.report().loads.get("a").copied();
    expect_that!(
        loads,
        some(gt(10)),
        "the replica must be unloaded between requests"
    );
    sleep(Duration::from_secs(121)).await;
    expect_that!(world.ledger.current(&"a".into()), eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn permit_is_acquired_from_the_permit_holder_and_released() {
    let mut world = World::start(config(), &["a"]).await;
    let mut routers = [("entry-1", 1), ("entry-2", 2), ("entry-3", 3)];
    rendezvous::rank("permits", &mut routers, |(vm, _)| vm);
    let (vm, i) = routers[2];
    let holder = address(i);
    world.router.set_permit_holder(vm, holder);
    expect_that!(world.run_completion("a").await.is_complete(), is_true());
    sleep(Duration::from_millis(100)).await;
    expect_that!(
        world.router.permit_targets().last().copied(),
        some(eq(holder))
    );
    expect_that!(world.router.released_permits(), eq(&vec![7]));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn permit_request_is_raised_to_the_class_of_a_newer_waiter() {
    let mut world = World::start(config(), &["a"]).await;
    world.router.set_permit_holder("entry-1", address(1));
    world.router.set_permits_deferred(true);
    let mut batch = world.request("a");
    batch.class = Class::Batch;
    let batch = world.send(batch).await;
    sleep(Duration::from_millis(300)).await;
    let mut interactive = world.request("a");
    interactive.class = Class::Interactive;
    let interactive = world.send(interactive).await;
    sleep(Duration::from_millis(300)).await;
    let classes = world.router.permit_classes();
    expect_that!(classes.first(), some(eq(&Class::Batch)));
    expect_that!(classes.last(), some(eq(&Class::Interactive)));
    world.router.set_permits_deferred(false);
    expect_that!(collect_answer(interactive).await.is_complete(), is_true());
    expect_that!(collect_answer(batch).await.is_complete(), is_true());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn load_proceeds_when_no_router_grants_permits() {
    let mut world = World::start(config(), &["a"]).await;
    let start = Instant::now();
    expect_that!(world.run_completion("a").await.is_complete(), is_true());
    expect_that!(start.elapsed().as_millis(), lt(2_000));
}
