//! A leaving agent refuses new work, finishes running attempts and releases its slots.

use std::time::Duration;

use chicorystage_api::refusal::{Outcome, RefusalCode};
use chicorystage_borders::vm_list::VmState;
use chicorystage_testbed::fakes::{FakeEngineConfig, TableFault};
use chicorystaged::agent::event::AgentEvent;
use googletest::prelude::*;
use tokio::time::{Instant, sleep, timeout};

use crate::world::{VM, World, answer, slots, work};

const EXIT_MAX: Duration = Duration::from_secs(30);

async fn start(models: &[&str]) -> World {
    World::start(FakeEngineConfig::default(), models).await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_drain_cuts_off_nothing_and_gives_up_the_slots() {
    let mut world = start(&["a", "b"]).await;
    expect_that!(world.ask("a").await.is_whole(), is_true());
    let mut request = world.request("a");
    // Runs for longer than a leaving agent waits for the release of its slots.
    work(&mut request).max_tokens = 8_500;
    let running = world.send(request).await;
    sleep(Duration::from_millis(50)).await;
    world.handle.send(AgentEvent::Drain).await;
    let refused = world.ask("a").await;
    expect_that!(
        refused.refusal(),
        some(eq((RefusalCode::Leaving, Outcome::NotRun)))
    );
    let answer = answer(running).await;
    expect_that!(answer.is_whole(), is_true());
    expect_that!(answer.text.split_whitespace().count(), eq(8_500));
    let ended = timeout(EXIT_MAX, &mut world.running).await;
    expect_that!(ended.is_ok(), is_true());
    expect_that!(slots(&world.table, "a").await, is_empty());
    expect_that!(slots(&world.table, "b").await, is_empty());
    expect_that!(world.ledger.current(&"a".into()), eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_vm_that_is_listed_as_leaving_takes_no_new_work() {
    let mut world = start(&["a"]).await;
    expect_that!(world.ask("a").await.is_whole(), is_true());
    world.vms.set_state(&VM.into(), VmState::Leaving);
    sleep(Duration::from_millis(2_100)).await;
    let ended = world.running.is_finished();
    let refused = ended || !world.ask("a").await.is_whole();
    expect_that!(refused, is_true());
    let ended = timeout(EXIT_MAX, &mut world.running).await;
    expect_that!(ended.is_ok(), is_true());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_agent_leaves_also_while_the_table_is_down() {
    let mut world = start(&["a"]).await;
    expect_that!(world.ask("a").await.is_whole(), is_true());
    world.table.set_fault(TableFault::Down);
    let begun = Instant::now();
    world.handle.send(AgentEvent::Drain).await;
    let ended = timeout(EXIT_MAX, &mut world.running).await;
    expect_that!(ended.is_ok(), is_true());
    expect_that!(begun.elapsed().as_secs(), ge(10));
    expect_that!(world.ledger.current(&"a".into()), eq(0));
    world.table.set_fault(TableFault::None);
    expect_that!(slots(&world.table, "a").await, len(eq(1)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_slot_is_given_up_once_where_the_commit_was_not_answered() {
    let mut world = start(&["a"]).await;
    world
        .table
        .set_fault(TableFault::UnansweredNext { commits: 1 });
    world.handle.send(AgentEvent::Drain).await;
    let ended = timeout(Duration::from_secs(10), &mut world.running).await;
    expect_that!(ended.is_ok(), is_true());
    expect_that!(slots(&world.table, "a").await, is_empty());
}
