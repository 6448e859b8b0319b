//! The planners of several routers assign slots by transactions on one table, also under failures.

mod planner_world;

use std::time::Duration;

use chicorystage_api::inventory::Class;
use chicorystage_api::peer::{PermitAnswer, PermitKind, PermitRequest, SlotState};
use chicorystage_borders::vm_list::VmState;
use chicorystage_testbed::fakes::TableFault;
use googletest::prelude::*;

use crate::planner_world::World;

async fn sleep_seconds(count: u64) {
    tokio::time::sleep(Duration::from_secs(count)).await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn concurrent_planners_assign_one_slot() {
    let world = World::new(2).await;
    world.table.set_fault(TableFault::Slow { delay_ms: 10 });
    let (first, second) = tokio::join!(world.place(0, false, 0), world.place(1, false, 0));
    expect_that!(first, some(anything()));
    expect_that!(first, eq(&second));
    expect_that!(world.slots().await.len(), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn commit_of_unknown_outcome_is_resolved_by_reading() {
    let world = World::new(2).await;
    world.table.set_fault(TableFault::Unanswered);
    let push = world.place(0, false, 0).await;
    world.table.set_fault(TableFault::None);
    expect_that!(push.map(|push| push.row.slots.len()), some(eq(1)));
    expect_that!(world.slots().await.len(), eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn concurrent_requests_for_another_slot_add_one_and_stay_within_the_cap() {
    let world = World::new(3).await;
    let seen_version = world.place(0, false, 0).await.unwrap().row_version;
    let (first, second) = tokio::join!(
        world.place(0, true, seen_version),
        world.place(1, true, seen_version)
    );
    expect_that!(first.map(|push| push.row.slots.len()), some(eq(2)));
    expect_that!(second.map(|push| push.row.slots.len()), some(eq(2)));
    for _ in 0..3 {
        let seen_version = world.place(0, false, 0).await.unwrap().row_version;
        world.place(1, true, seen_version).await;
    }
    expect_that!(world.slots().await.len(), eq(3));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn cap_lowered_between_read_and_commit_is_enforced() {
    let world = World::new(2).await;
    let seen_version = world.place(0, false, 0).await.unwrap().row_version;
    world.table.set_fault(TableFault::Slow { delay_ms: 100 });
    let lower = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        world.set_cap(1, 2).await;
    };
    let (push, ()) = tokio::join!(world.place(0, true, seen_version), lower);
    expect_that!(push.map(|push| push.row.slots.len()), some(eq(1)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn lowered_cap_removes_a_slot_only_after_its_release() {
    let world = World::new(2).await;
    let seen_version = world.place(0, false, 0).await.unwrap().row_version;
    world.place(0, true, seen_version).await;
    let holders: Vec<_> = world.slots().await.into_iter().map(|(vm, _)| vm).collect();
    for vm in &holders {
        world.set_silent(vm, true);
    }
    world.set_cap(1, 2).await;
    sleep_seconds(10).await;
    let slots = world.slots().await;
    let revoking = slots
        .iter()
        .filter(|(_, state)| *state == SlotState::Revoking);
    expect_that!((slots.len(), revoking.count()), eq((2, 1)));
    for vm in &holders {
        world.set_silent(vm, false);
    }
    sleep_seconds(3).await;
    let slots = world.slots().await;
    expect_that!(slots.len(), eq(1));
    expect_that!(slots[0].1, eq(SlotState::Held));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn silent_vm_keeps_its_slot_until_the_vm_list_drops_it() {
    let world = World::new(1).await;
    world.place(0, false, 0).await;
    let (holder, _) = world.slots().await.remove(0);
    world.set_silent(&holder, true);
    for vm in world.lock_vms().iter_mut().filter(|vm| vm.id == holder) {
        vm.state = VmState::Leaving;
    }
    world.list_vms().await;
    sleep_seconds(10).await;
    expect_that!(
        world.slots().await,
        elements_are![eq(&(holder.clone(), SlotState::Revoking))]
    );
    world.lock_vms().retain(|vm| vm.id != holder);
    for _ in 0..8 {
        world.list_vms().await;
        sleep_seconds(1).await;
    }
    let push = world.place(0, false, 0).await.unwrap();
    expect_that!(push.row.slots.len(), eq(1));
    expect_that!(push.row.slots[0].vm, not(eq(&holder)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn only_one_router_grants_permits() {
    let world = World::new(1).await;
    let permit_request = |ticket| PermitRequest {
        vm: "worker-1".into(),
        ticket,
        kind: PermitKind::Model,
        class: Class::Standard,
        time_left_ms: 5_000,
    };
    let mut granted = 0;
    let mut elsewhere = 0;
    for ticket in 0..6 {
        for router in 0..2 {
            match world.permit(router, permit_request(ticket)).await {
                PermitAnswer::Granted { .. } => granted += 1,
                PermitAnswer::Elsewhere { .. } => elsewhere += 1,
                PermitAnswer::Wait { .. } => {}
            }
        }
    }
    expect_that!((granted, elsewhere), eq((4, 6)));
}
