//! At-most-once execution of claims at an agent: begin, rejection, queries and forgetting.

use chicorystage_api::name::CallerName;
use chicorystage_api::peer::{AttemptRef, ClaimQuery, ClaimState};
use chicorystage_api::work::ClaimTicket;
use chicorystage_core::claim::{ClaimRejection, ClaimTracker, ClaimTrackerConfig};
use googletest::prelude::*;

const INCARNATION: u64 = 7;

fn caller() -> CallerName {
    "ledger-app".into()
}

fn ticket(key: &str, epoch: u32, row_version: u64) -> ClaimTicket {
    ClaimTicket {
        key: key.into(),
        body_sha256: "body".into(),
        epoch,
        incarnation: INCARNATION,
        row_version,
    }
}

fn query(key: &str, epoch: u32, row_version: u64) -> ClaimQuery {
    ClaimQuery {
        caller: caller(),
        key: key.into(),
        epoch,
        incarnation: INCARNATION,
        row_version,
    }
}

fn attempt(number: u32) -> AttemptRef {
    AttemptRef {
        request_id: "r".into(),
        attempt: number,
    }
}

fn tracker(ended_max: usize) -> ClaimTracker {
    ClaimTrackerConfig::new()
        .ended_max(ended_max)
        .build(INCARNATION)
}

#[gtest]
fn an_epoch_begins_once() {
    let mut tracker = tracker(8);
    expect_that!(
        tracker.begin(&caller(), &ticket("k", 1, 10), attempt(1)),
        ok(anything())
    );
    expect_that!(
        tracker.begin(&caller(), &ticket("k", 1, 10), attempt(2)),
        err(eq(ClaimRejection::Stale))
    );
    tracker.finish(&caller(), &"k".into());
    expect_that!(
        tracker.begin(&caller(), &ticket("k", 2, 11), attempt(2)),
        err(eq(ClaimRejection::Stale))
    );
}

#[gtest]
fn other_incarnation_is_rejected_and_reported() {
    let mut tracker = tracker(8);
    let mut other = ticket("k", 1, 10);
    other.incarnation = 6;
    expect_that!(
        tracker.begin(&caller(), &other, attempt(1)),
        err(eq(ClaimRejection::OtherIncarnation))
    );
    let mut other_query = query("k", 1, 10);
    other_query.incarnation = 6;
    let expected = ClaimState::OtherIncarnation {
        incarnation: INCARNATION,
    };
    expect_that!(tracker.query(&other_query), eq(&expected));
}

#[gtest]
fn a_claim_that_never_arrived_is_tombstoned_and_a_higher_epoch_runs() {
    let mut tracker = tracker(8);
    expect_that!(
        tracker.query(&query("k", 1, 10)),
        eq(&ClaimState::Tombstoned)
    );
    expect_that!(
        tracker.begin(&caller(), &ticket("k", 1, 10), attempt(1)),
        err(eq(ClaimRejection::Stale))
    );
    expect_that!(
        tracker.begin(&caller(), &ticket("k", 2, 11), attempt(2)),
        ok(anything())
    );
    expect_that!(
        tracker.query(&query("k", 1, 10)),
        eq(&ClaimState::Tombstoned)
    );
    expect_that!(
        tracker.query(&query("k", 2, 11)),
        eq(&ClaimState::Running {
            attempt: attempt(2)
        })
    );
}

#[gtest]
fn claim_abandoned_before_its_call_ran_is_tombstoned() {
    let mut tracker = tracker(8);
    tracker
        .begin(&caller(), &ticket("k", 1, 10), attempt(1))
        .unwrap();
    tracker.abandon(&caller(), &"k".into());
    expect_that!(
        tracker.query(&query("k", 1, 10)),
        eq(&ClaimState::Tombstoned)
    );
    tracker.finish(&caller(), &"k".into());
    expect_that!(
        tracker.query(&query("k", 1, 10)),
        eq(&ClaimState::Tombstoned)
    );
}

#[gtest]
fn a_forgotten_claim_is_unknown_and_never_begins_again() {
    let mut tracker = tracker(2);
    for (i, key) in ["a", "b", "c"].into_iter().enumerate() {
        let row_version = 10 + i as u64;
        tracker
            .begin(&caller(), &ticket(key, 1, row_version), attempt(1))
            .unwrap();
        tracker.finish(&caller(), &key.into());
    }
    expect_that!(tracker.query(&query("a", 1, 10)), eq(&ClaimState::Unknown));
    expect_that!(
        tracker.begin(&caller(), &ticket("a", 1, 10), attempt(2)),
        err(eq(ClaimRejection::Stale))
    );
    expect_that!(
        tracker.query(&query("c", 1, 12)),
        eq(&ClaimState::Finished {
            attempt: attempt(1)
        })
    );
    expect_that!(
        tracker.query(&query("new", 1, 13)),
        eq(&ClaimState::Tombstoned)
    );
}

#[gtest]
fn a_running_claim_is_never_forgotten() {
    let mut tracker = tracker(1);
    tracker
        .begin(&caller(), &ticket("long", 1, 1), attempt(1))
        .unwrap();
    for row_version in 2..50 {
        let key = format!("k{row_version}");
        tracker
            .begin(&caller(), &ticket(&key, 1, row_version), attempt(1))
            .unwrap();
        tracker.finish(&caller(), &key.as_str().into());
    }
    expect_that!(
        tracker.query(&query("long", 1, 1)),
        eq(&ClaimState::Running {
            attempt: attempt(1)
        })
    );
}
