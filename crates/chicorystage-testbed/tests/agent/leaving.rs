//! A leaving agent refuses new work, finishes running attempts and releases its slots.

use std::time::Duration;

use chicorystage_api::refusal::{Outcome, RefusalCode};
use chicorystage_borders::vm_list::VmState;
use chicorystage_testbed::fakes::{FakeEngineConfig, TableFault};
use chicorystaged::agent::event::AgentEvent;
use googletest::prelude::*;
use tokio::time::{Instant, sleep, timeout};

use crate::world::{VM, World, collect_answer, completion_mut, slots};

const EXIT_MAX: Duration = Duration::from_secs(30);

async fn start(models: &[&str]) -> World {
    World::start(FakeEngineConfig::default(), models).await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn drain_completes_running_attempts_and_releases_the_slots() {
    let mut world = start(&["a", "b"]).await;
    expect_that!(world.run_completion("a").await.is_complete(), is_true());
    let mut request = world.request("a");
    // Runs for longer than a leaving agent waits for the release of its slots.
    completion_mut(&mut request).max_tokens = 8_500;
    let running = world.send(request).await;
    sleep(Duration::from_millis(50)).await;
    world.handle.send(AgentEvent::Drain).await;
    let refused = world.run_completion("a").await;
    expect_that!(
        refused.refusal(),
        some(eq((RefusalCode::Leaving, Outcome::NotRun)))
    );
    let answer = collect_answer(running).await;
    expect_that!(answer.is_complete(), is_true());
    expect_that!(answer.text.split_whitespace().count(), eq(8_500));
    let ended = timeout(EXIT_MAX, &mut world.running).await;
    expect_that!(ended.is_ok(), is_true());
    expect_that!(slots(&world.table, "a").await, is_empty());
    expect_that!(slots(&world.table, "b").await, is_empty());
    expect_that!(world.ledger.current(&"a".into()), eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn vm_listed_as_leaving_accepts_no_new_work() {
    let mut world = start(&["a"]).await;
    expect_that!(world.run_completion("a").await.is_complete(), is_true());
    world.vms.set_state(&VM.into(), VmState::Leaving);
    sleep(Duration::from_millis(2_100)).await;
    let ended = world.running.is_finished();
    let refused = ended || !world.run_completion("a").await.is_complete();
    expect_that!(refused, is_true());
    let ended = timeout(EXIT_MAX, &mut world.running).await;
    expect_that!(ended.is_ok(), is_true());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn draining_agent_exits_during_a_table_outage() {
    let mut world = start(&["a"]).await;
    expect_that!(world.run_completion("a").await.is_complete(), is_true());
    world.table.set_fault(TableFault::Down);
    let started_at = Instant::now();
    world.handle.send(AgentEvent::Drain).await;
    let ended = timeout(EXIT_MAX, &mut world.running).await;
    expect_that!(ended.is_ok(), is_true());
    expect_that!(started_at.elapsed().as_secs(), ge(10));
    expect_that!(world.ledger.current(&"a".into()), eq(0));
    world.table.set_fault(TableFault::None);
    expect_that!(slots(&world.table, "a").await, len(eq(1)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn slot_is_released_when_its_commit_is_unanswered() {
    let mut world = start(&["a"]).await;
    world
        .table
        .set_fault(TableFault::UnansweredNext { commits: 1 });
    world.handle.send(AgentEvent::Drain).await;
    let ended = timeout(Duration::from_secs(10), &mut world.running).await;
    expect_that!(ended.is_ok(), is_true());
    expect_that!(slots(&world.table, "a").await, is_empty());
}
