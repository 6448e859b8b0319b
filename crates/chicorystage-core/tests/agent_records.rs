//! An agent's recorded frames, its view of the slots, and the conditions that end a drain.

use chicorystage_api::peer::{AttemptRef, PlacementRow, Slot, SlotState};
use chicorystage_api::work::{EndSummary, Payload};
use chicorystage_core::attempts::Attempts;
use chicorystage_core::drain::{Drain, RELEASE_WAIT_MAX_MS, Remaining};
use chicorystage_core::slots::{SlotStatus, Slots};
use googletest::prelude::*;

const KEPT_MS: u64 = 1_000;

fn attempt(name: &str) -> AttemptRef {
    AttemptRef {
        request_id: name.into(),
        attempt: 2,
    }
}

fn token(text: &str) -> Payload {
    Payload::Token(text.into())
}

fn end() -> Payload {
    Payload::End(EndSummary::default())
}

#[gtest]
fn frames_are_numbered_without_gaps_and_end_once() {
    let mut attempts = Attempts::new(KEPT_MS, 10_000);
    expect_that!(attempts.begin(&attempt("a")), is_true());
    expect_that!(attempts.begin(&attempt("a")), is_false());
    for payload in [token("x"), token("y"), end(), token("late"), end()] {
        attempts.append(&attempt("a"), payload, None, 5);
    }
    let record = attempts.get(&attempt("a")).expect("known");
    let offsets: Vec<u64> = record.frames().iter().map(|frame| frame.offset).collect();
    expect_that!(offsets, eq(&vec![0, 1, 2]));
    expect_that!(record.frames()[2].payload, eq(&end()));
}

#[gtest]
fn finished_attempts_are_forgotten_by_age_and_by_bytes() {
    let mut attempts = Attempts::new(KEPT_MS, 1_000);
    for name in ["a", "b", "c", "running"] {
        attempts.begin(&attempt(name));
        attempts.append(&attempt(name), token(&"x".repeat(300)), None, 1);
    }
    for name in ["a", "b", "c"] {
        attempts.append(&attempt(name), end(), None, 10);
    }
    expect_that!(attempts.get(&attempt("a")).is_none(), is_true());
    expect_that!(attempts.get(&attempt("c")).is_some(), is_true());
    attempts.forget(11 + KEPT_MS);
    expect_that!(attempts.get(&attempt("c")).is_none(), is_true());
    expect_that!(attempts.get(&attempt("running")).is_some(), is_true());
}

fn row(state: Option<SlotState>) -> PlacementRow {
    let slots = state.map(|state| Slot {
        vm: "vm".into(),
        state,
    });
    PlacementRow {
        model: "a".into(),
        slots: slots.into_iter().collect(),
    }
}

#[gtest]
fn pushed_rows_are_ignored_before_the_slots_are_read() {
    let mut slots = Slots::new("vm".into());
    expect_that!(slots.push(9, &row(Some(SlotState::Held))), is_false());
    slots.read_all(5, Vec::new());
    expect_that!(slots.status(&"a".into()), eq(SlotStatus::Absent));
    expect_that!(slots.push(5, &row(Some(SlotState::Held))), is_false());
    expect_that!(slots.push(6, &row(Some(SlotState::Held))), is_true());
    expect_that!(slots.status(&"a".into()), eq(SlotStatus::Held));
}

#[gtest]
fn a_held_slot_is_never_acknowledged_as_released() {
    let mut slots = Slots::new("vm".into());
    expect_that!(slots.ack(&"a".into(), true).released, is_false());
    slots.read_all(5, vec![(3, row(Some(SlotState::Held)))]);
    expect_that!(slots.ack(&"a".into(), true).released, is_false());
    slots.push(6, &row(Some(SlotState::Revoking)));
    expect_that!(slots.ack(&"a".into(), false).released, is_false());
    expect_that!(slots.ack(&"a".into(), true).released, is_true());
}

#[gtest]
fn deleted_row_is_recognized_by_a_read() {
    let mut slots = Slots::new("vm".into());
    slots.read_all(5, vec![(3, row(Some(SlotState::Held)))]);
    slots.read_one(&"a".into(), 8, None);
    expect_that!(slots.status(&"a".into()), eq(SlotStatus::Absent));
    expect_that!(slots.push(8, &row(Some(SlotState::Held))), is_false());
}

#[gtest]
fn a_drain_ends_with_nothing_left_or_after_its_bounds() {
    let mut drain = Drain::new(60_000);
    expect_that!(drain.may_exit(&Remaining::default(), 0), is_false());
    drain.begin(100);
    expect_that!(drain.may_exit(&Remaining::default(), 100), is_true());
    let working = Remaining {
        running: 1,
        slots: 1,
        ..Remaining::default()
    };
    expect_that!(drain.may_exit(&working, 20_000), is_false());
    let slots_left = Remaining {
        slots: 1,
        ..Remaining::default()
    };
    expect_that!(drain.may_exit(&slots_left, 20_001), is_false());
    expect_that!(
        drain.may_exit(&slots_left, 20_001 + RELEASE_WAIT_MAX_MS - 1),
        is_false()
    );
    expect_that!(drain.may_exit(&working, 60_100), is_true());
}
