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

use crate::world::{GIB, World, address, answer, work};

fn config() -> FakeEngineConfig {
    FakeEngineConfig::default()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_burst_for_one_model_is_one_load() {
    let mut world = World::start(config(), &["a"]).await;
    let mut answers = Vec::new();
    for _ in 0..8 {
        let request = world.request("a");
        answers.push(world.send(request).await);
    }
    for frames in answers {
        expect_that!(answer(frames).await.is_whole(), is_true());
    }
    expect_that!(world.engine.report().loads.get("a").copied(), some(eq(1)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_model_that_does_not_fit_beside_an_idle_one_replaces_it() {
    let mut world = World::start(config(), &["a", "b"]).await;
    expect_that!(world.ask("a").await.is_whole(), is_true());
    expect_that!(world.ask("b").await.is_whole(), is_true());
    let report = world.engine.report();
    expect_that!(report.overcommits, eq(0));
    expect_that!(world.ledger.current(&"a".into()), eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_model_waits_for_memory_in_use_and_is_refused_in_time() {
    let mut world = World::start(config(), &["a", "b"]).await;
    let mut long = world.request("a");
    work(&mut long).max_tokens = 4_000;
    let long = world.send(long).await;
    sleep(Duration::from_secs(1)).await;
    let refused = world.ask("b").await;
    expect_that!(
        refused.refusal(),
        some(eq((RefusalCode::MemoryFull, Outcome::NotRun)))
    );
    expect_that!(answer(long).await.is_whole(), is_true());
    expect_that!(world.engine.report().overcommits, eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_load_whose_answer_was_lost_keeps_its_memory() {
    let mut world = World::start(config(), &["a", "b"]).await;
    world
        .engine
        .inject(EngineFault::LostOrderAnswers { orders: 1 });
    let refused = world.ask("a").await;
    expect_that!(
        refused.refusal(),
        some(eq((RefusalCode::LoadFailed, Outcome::NotRun)))
    );
    let status = world.status().await;
    expect_that!(status.memory_reserved_bytes, eq(50 * GIB));
    expect_that!(status.replicas[0].state, eq(ReplicaState::Unsettled));
    expect_that!(world.ask("b").await.is_whole(), is_true());
    expect_that!(world.engine.report().overcommits, eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_late_order_of_an_earlier_agent_overcommits_no_engine() {
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
        let answer = world.ask("b").await;
        expect_that!(answer.is_whole(), is_true(), "{:?}", answer.last);
        sleep(Duration::from_secs(2)).await;
        let report = world.engine.report();
        expect_that!(report.overcommits, eq(0), "enforced: {fence_enforced}");
        expect_that!(report.double_loads, eq(0));
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_engine_that_dies_in_a_load_refuses_and_loads_again() {
    let mut world = World::start(config(), &["a"]).await;
    world.engine.inject(EngineFault::CrashMidLoad);
    let refused = world.ask("a").await;
    expect_that!(
        refused.refusal().map(|(_, outcome)| outcome),
        some(eq(Outcome::NotRun))
    );
    sleep(Duration::from_secs(2)).await;
    expect_that!(world.ask("a").await.is_whole(), is_true());
    expect_that!(world.ledger.highest(&"a".into()), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn another_version_of_a_model_replaces_the_loaded_one() {
    let mut world = World::start(config(), &["a"]).await;
    expect_that!(world.ask("a").await.is_whole(), is_true());
    let mut request = world.request("a");
    work(&mut request).version = "v2".into();
    work(&mut request).model_memory_bytes = 10 * GIB;
    expect_that!(
        answer(world.send(request).await).await.is_whole(),
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
        work(&mut request).adapter = Some("tone".into());
        work(&mut request).adapter_memory_bytes = 20 * GIB;
        answers.push(world.send(request).await);
    }
    for frames in answers {
        expect_that!(answer(frames).await.is_whole(), is_true());
    }
    let status = world.status().await;
    expect_that!(status.memory_reserved_bytes, eq(70 * GIB));
    expect_that!(status.replicas[0].adapters, len(eq(1)));
    let mut request = world.request("b");
    work(&mut request).model_memory_bytes = 25 * GIB;
    expect_that!(
        answer(world.send(request).await).await.is_whole(),
        is_true()
    );
    let status = world.status().await;
    expect_that!(status.memory_reserved_bytes, eq(75 * GIB));
    expect_that!(world.engine.report().overcommits, eq(0));
    expect_that!(world.ledger.current(&"a".into()), eq(1));
}

/// Returns an inventory with one rule for model `a`.
fn rule(keep_alive_min_ms: u64, keep_alive_max_ms: u64) -> Snapshot {
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
    world.router.set_inventory(rule(55_000, 60_000));
    sleep(Duration::from_secs(2)).await;
    expect_that!(world.status().await.revision, eq(1));
    expect_that!(world.ask("a").await.is_whole(), is_true());
    sleep(Duration::from_secs(50)).await;
    expect_that!(world.ledger.current(&"a".into()), eq(1));
    let status = world.status().await;
    expect_that!(status.replicas[0].idle_ms, gt(49_000));
    sleep(Duration::from_secs(12)).await;
    expect_that!(world.ledger.current(&"a".into()), eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_model_that_is_asked_for_regularly_is_loaded_ahead_of_use() {
    let config = FakeEngineConfig {
        load_memory_ms: 2_000,
        ..config()
    };
    let mut world = World::start(config, &["a"]).await;
    world.router.set_inventory(rule(1_000, 120_000));
    sleep(Duration::from_secs(2)).await;
    let mut cold = 0;
    for i in 0..20 {
        let answer = world.ask("a").await;
        let Payload::End(summary) = answer.last else {
            panic!("round {i}: {:?}", answer.last);
        };
        cold += u32::from(summary.cold_start_ms > 0);
        sleep(Duration::from_mins(1)).await;
    }
    expect_that!(cold, le(4));
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
async fn a_permit_is_taken_from_its_holder_and_returned() {
    let mut world = World::start(config(), &["a"]).await;
    let mut routers = [("entry-1", 1), ("entry-2", 2), ("entry-3", 3)];
    rendezvous::rank("permits", &mut routers, |(vm, _)| vm);
    let (vm, i) = routers[2];
    let holder = address(i);
    world.router.set_permit_holder(vm, holder);
    expect_that!(world.ask("a").await.is_whole(), is_true());
    sleep(Duration::from_millis(100)).await;
    expect_that!(world.router.asked().last().copied(), some(eq(holder)));
    expect_that!(world.router.released(), eq(&vec![7]));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_permit_is_asked_for_as_urgently_as_the_newest_waiter_needs() {
    let mut world = World::start(config(), &["a"]).await;
    world.router.set_permit_holder("entry-1", address(1));
    world.router.set_permits_wait(true);
    let mut batch = world.request("a");
    batch.class = Class::Batch;
    let batch = world.send(batch).await;
    sleep(Duration::from_millis(300)).await;
    let mut interactive = world.request("a");
    interactive.class = Class::Interactive;
    let interactive = world.send(interactive).await;
    sleep(Duration::from_millis(300)).await;
    let classes = world.router.classes();
    expect_that!(classes.first(), some(eq(&Class::Batch)));
    expect_that!(classes.last(), some(eq(&Class::Interactive)));
    world.router.set_permits_wait(false);
    expect_that!(answer(interactive).await.is_whole(), is_true());
    expect_that!(answer(batch).await.is_whole(), is_true());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_load_goes_on_where_no_router_hands_out_permits() {
    let mut world = World::start(config(), &["a"]).await;
    let start = Instant::now();
    expect_that!(world.ask("a").await.is_whole(), is_true());
    expect_that!(start.elapsed().as_millis(), lt(2_000));
}
