//! Examples of how the planner selects VMs and computes the next row of a model's slots.

use std::collections::HashSet;

use chicorystage_api::name::VmId;
use chicorystage_api::peer::{PlacementPush, PlacementRow, Slot, SlotState};
use chicorystage_core::placement::{
    CacheTier, Candidate, DesiredSlots, Release, SlotDemand, VmHistory, next_row, select_vm,
};
use googletest::prelude::*;

const GIB: u64 = 1 << 30;

fn candidate(vm: &str, zone: &str, cache_tier: CacheTier, free_gib: u64) -> Candidate {
    Candidate {
        vm: vm.into(),
        zone: zone.into(),
        cache_tier,
        memory_free_bytes: Some(free_gib * GIB),
    }
}

fn desired_slots(demand: SlotDemand) -> DesiredSlots {
    DesiredSlots {
        model: "varietal".into(),
        memory_bytes: 10 * GIB,
        demand,
        avoid: Vec::new(),
        candidates: vec![
            candidate("vm-1", "a", CacheTier::Remote, 40),
            candidate("vm-2", "a", CacheTier::Disk, 40),
            candidate("vm-3", "b", CacheTier::Remote, 40),
            candidate("vm-4", "b", CacheTier::Memory, 1),
        ],
        leaving: HashSet::new(),
        gone: HashSet::new(),
        releases: Vec::new(),
    }
}

fn push(row_version: u64, slots: &[(&str, SlotState)]) -> PlacementPush {
    let slots = slots.iter().map(|(vm, state)| Slot {
        vm: (*vm).into(),
        state: *state,
    });
    PlacementPush {
        row_version,
        row: PlacementRow {
            model: "varietal".into(),
            slots: slots.collect(),
        },
    }
}

fn slot_states(row: Option<PlacementRow>) -> Option<Vec<(String, SlotState)>> {
    row.map(|row| {
        row.slots
            .into_iter()
            .map(|slot| (slot.vm.to_string(), slot.state))
            .collect()
    })
}

const HELD: SlotState = SlotState::Held;
const REVOKING: SlotState = SlotState::Revoking;

#[gtest]
fn prefers_free_memory_then_a_new_zone_then_the_nearest_cache_tier() {
    let desired_slots = desired_slots(SlotDemand::First);
    expect_that!(
        select_vm(None, &desired_slots),
        some(eq(&VmId::from("vm-2")))
    );
    let current = push(1, &[("vm-2", HELD)]);
    expect_that!(
        select_vm(Some(&current.row), &desired_slots),
        some(eq(&VmId::from("vm-3")))
    );
}

#[gtest]
fn request_that_saw_an_older_row_adds_no_slot() {
    let current = push(5, &[("vm-2", HELD)]);
    let stale = desired_slots(SlotDemand::Additional {
        seen_row_version: 4,
    });
    expect_that!(next_row(Some(&current), &stale, 3), none());
    let fresh = desired_slots(SlotDemand::Additional {
        seen_row_version: 5,
    });
    expect_that!(
        slot_states(next_row(Some(&current), &fresh, 3)),
        some(len(eq(2)))
    );
    expect_that!(next_row(Some(&current), &fresh, 1), none());
}

#[gtest]
fn a_revoking_slot_counts_until_its_release_under_that_row() {
    let current = push(7, &[("vm-1", REVOKING)]);
    let mut desired_slots = desired_slots(SlotDemand::First);
    desired_slots.releases = vec![Release {
        vm: "vm-1".into(),
        row_version: 6,
    }];
    expect_that!(next_row(Some(&current), &desired_slots, 1), none());
    desired_slots.releases = vec![Release {
        vm: "vm-1".into(),
        row_version: 7,
    }];
    let moved = slot_states(next_row(Some(&current), &desired_slots, 1));
    expect_that!(moved, some(eq(&vec![("vm-2".to_owned(), HELD)])));
}

#[gtest]
fn a_lower_cap_and_a_leaving_vm_revoke() {
    let current = push(7, &[("vm-1", HELD), ("vm-3", HELD)]);
    let mut desired_slots = desired_slots(SlotDemand::Maintenance);
    desired_slots.leaving.insert("vm-3".into());
    let row = slot_states(next_row(Some(&current), &desired_slots, 1));
    expect_that!(
        row,
        some(eq(&vec![
            ("vm-1".to_owned(), HELD),
            ("vm-3".to_owned(), REVOKING)
        ]))
    );
    desired_slots.leaving.clear();
    let row = next_row(Some(&current), &desired_slots, 1).expect("the cap is exceeded");
    expect_that!(
        row.slots
            .iter()
            .filter(|slot| slot.state == REVOKING)
            .count(),
        eq(1)
    );
}

#[gtest]
fn never_listed_vm_is_gone_only_after_a_longer_time() {
    let mut history = VmHistory::default();
    let (old, new) = (VmId::from("old"), VmId::from("new"));
    history.observe([&old].into_iter(), [&new].into_iter(), 0);
    history.observe([].into_iter(), [].into_iter(), 1_000);
    expect_that!(history.is_gone(&old, 5_999), eq(false));
    expect_that!(history.is_gone(&old, 6_000), eq(true));
    expect_that!(history.is_gone(&new, 6_000), eq(false));
    expect_that!(history.is_gone(&new, 60_000), eq(true));
    history.observe([&new].into_iter(), [].into_iter(), 60_000);
    expect_that!(history.is_gone(&new, 120_000), eq(false));
}
