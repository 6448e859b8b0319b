//! An agent loads a model only for a slot that the placement table assigns to its VM.

use std::time::Duration;

use chicorystage_api::peer::SlotState;
use chicorystage_api::refusal::{Outcome, RefusalCode};
use chicorystage_testbed::fakes::{EngineFault, FakeEngineConfig, TableFault};
use googletest::prelude::*;
use tokio::time::sleep;

use crate::world::{VM, World, collect_answer, grant, placement_row, write_placement};

const HELD: &[(&str, SlotState)] = &[(VM, SlotState::Held)];
const REVOKING: &[(&str, SlotState)] = &[(VM, SlotState::Revoking)];
const HELD_BY_OTHER_VM: &[(&str, SlotState)] = &[("worker-2", SlotState::Held)];

async fn start(models: &[&str]) -> World {
    World::start(FakeEngineConfig::default(), models).await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn model_without_a_slot_is_refused() {
    let mut world = start(&[]).await;
    let refused = world.run_completion("a").await;
    expect_that!(
        refused.refusal(),
        some(eq((RefusalCode::NotPlaced, Outcome::NotRun)))
    );
    expect_that!(world.ledger.highest(&"a".into()), eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn grant_is_verified_in_the_table() {
    let mut world = start(&[]).await;
    let version = write_placement(&world.table, "a", HELD).await;
    let mut request = world.request("a");
    request.grant = Some(grant("a", version));
    expect_that!(
        collect_answer(world.send(request).await)
            .await
            .is_complete(),
        is_true()
    );

    let version = write_placement(&world.table, "b", HELD_BY_OTHER_VM).await;
    let mut request = world.request("b");
    request.grant = Some(grant("b", version));
    let refused = collect_answer(world.send(request).await).await;
    expect_that!(
        refused.refusal().map(|(code, _)| code),
        some(eq(RefusalCode::NotPlaced))
    );
    expect_that!(world.ledger.highest(&"b".into()), eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn delayed_push_does_not_restore_a_revoked_slot() {
    let mut world = start(&["a"]).await;
    expect_that!(world.run_completion("a").await.is_complete(), is_true());
    let revoked = write_placement(&world.table, "a", REVOKING).await;
    let ack = world.push(revoked, placement_row("a", REVOKING)).await;
    expect_that!((ack.held, ack.released), eq((false, false)));
    sleep(Duration::from_millis(500)).await;
    let ack = world.push(revoked, placement_row("a", REVOKING)).await;
    expect_that!((ack.row_version, ack.released), eq((revoked, true)));
    let ack = world.push(revoked - 1, placement_row("a", HELD)).await;
    expect_that!((ack.row_version, ack.held), eq((revoked, false)));
    let refused = world.run_completion("a").await;
    expect_that!(
        refused.refusal().map(|(code, _)| code),
        some(eq(RefusalCode::NotPlaced))
    );
    expect_that!(world.ledger.current(&"a".into()), eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn revoked_slot_is_released_only_after_running_work_ends() {
    let mut world = start(&["a"]).await;
    expect_that!(world.run_completion("a").await.is_complete(), is_true());
    let mut request = world.request("a");
    crate::world::completion_mut(&mut request).max_tokens = 1_000;
    let running = world.send(request).await;
    sleep(Duration::from_millis(100)).await;
    let revoked = write_placement(&world.table, "a", REVOKING).await;
    world.push(revoked, placement_row("a", REVOKING)).await;
    sleep(Duration::from_secs(1)).await;
    let ack = world.push(revoked, placement_row("a", REVOKING)).await;
    expect_that!(ack.released, is_false());
    expect_that!(collect_answer(running).await.is_complete(), is_true());
    sleep(Duration::from_millis(500)).await;
    let ack = world.push(revoked, placement_row("a", REVOKING)).await;
    expect_that!(ack.released, is_true());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn restarted_agent_serves_loaded_models_but_loads_none_during_a_table_outage() {
    let mut world = start(&["a", "b"]).await;
    expect_that!(world.run_completion("a").await.is_complete(), is_true());
    world.table.set_fault(TableFault::Down);
    world.restart();
    sleep(Duration::from_millis(1_500)).await;
    expect_that!(world.run_completion("a").await.is_complete(), is_true());
    let refused = world.run_completion("b").await;
    expect_that!(
        refused.refusal().map(|(code, _)| code),
        some(eq(RefusalCode::NotPlaced))
    );
    let ack = world.push(99, placement_row("b", HELD)).await;
    expect_that!((ack.held, ack.released), eq((false, false)));
    world.table.set_fault(TableFault::None);
    sleep(Duration::from_millis(1_500)).await;
    expect_that!(world.run_completion("b").await.is_complete(), is_true());
    expect_that!(world.engine.report().overcommits, eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn held_slot_allows_cold_starts_during_a_table_outage() {
    let mut world = start(&["a"]).await;
    world.table.set_fault(TableFault::Down);
    let mut request = world.request("a");
    request.grant = Some(grant("a", 99));
    expect_that!(
        collect_answer(world.send(request).await)
            .await
            .is_complete(),
        is_true()
    );
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn slot_is_not_released_while_a_previous_agents_order_may_be_in_flight() {
    let config = FakeEngineConfig {
        fence_enforced: false,
        ..FakeEngineConfig::default()
    };
    let mut world = World::start(config, &["a"]).await;
    world
        .engine
        .inject(EngineFault::LateOrder { delay_ms: 380 });
    let request = world.request("a");
    let _frames = world.send(request).await;
    sleep(Duration::from_millis(340)).await;
    let revoked = write_placement(&world.table, "a", REVOKING).await;
    world.restart();
    sleep(Duration::from_millis(20)).await;
    let ack = world.push(revoked, placement_row("a", REVOKING)).await;
    expect_that!(ack.row_version, eq(revoked));
    expect_that!(ack.released, is_false());
    sleep(Duration::from_secs(3)).await;
    expect_that!(world.ledger.highest(&"a".into()), eq(1));
    let ack = world.push(revoked, placement_row("a", REVOKING)).await;
    expect_that!(ack.released, is_true());
    expect_that!(world.ledger.current(&"a".into()), eq(0));
}
