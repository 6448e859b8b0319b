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

fn book(ended_max: usize) -> ClaimTracker {
    ClaimTrackerConfig::new()
        .ended_max(ended_max)
        .build(INCARNATION)
}

#[gtest]
fn an_epoch_begins_once() {
    let mut book = book(8);
    expect_that!(
        book.begin(&caller(), &ticket("k", 1, 10), attempt(1)),
        ok(anything())
    );
    expect_that!(
        book.begin(&caller(), &ticket("k", 1, 10), attempt(2)),
        err(eq(ClaimRejection::Stale))
    );
    book.finish(&caller(), &"k".into());
    expect_that!(
        book.begin(&caller(), &ticket("k", 2, 11), attempt(2)),
        err(eq(ClaimRejection::Stale))
    );
}

#[gtest]
fn another_incarnation_is_refused_and_told() {
    let mut book = book(8);
    let mut other = ticket("k", 1, 10);
    other.incarnation = 6;
    expect_that!(
        book.begin(&caller(), &other, attempt(1)),
        err(eq(ClaimRejection::OtherIncarnation))
    );
    let mut asked = query("k", 1, 10);
    asked.incarnation = 6;
    let told = ClaimState::OtherIncarnation {
        incarnation: INCARNATION,
    };
    expect_that!(book.query(&asked), eq(&told));
}

#[gtest]
fn a_claim_that_never_arrived_is_tombstoned_and_a_higher_epoch_runs() {
    let mut book = book(8);
    expect_that!(book.query(&query("k", 1, 10)), eq(&ClaimState::Tombstoned));
    expect_that!(
        book.begin(&caller(), &ticket("k", 1, 10), attempt(1)),
        err(eq(ClaimRejection::Stale))
    );
    expect_that!(
        book.begin(&caller(), &ticket("k", 2, 11), attempt(2)),
        ok(anything())
    );
    expect_that!(book.query(&query("k", 1, 10)), eq(&ClaimState::Tombstoned));
    expect_that!(
        book.query(&query("k", 2, 11)),
        eq(&ClaimState::Running {
            attempt: attempt(2)
        })
    );
}

#[gtest]
fn a_claim_given_up_before_its_call_ran_did_not_run() {
    let mut book = book(8);
    book.begin(&caller(), &ticket("k", 1, 10), attempt(1))
        .unwrap();
    book.abandon(&caller(), &"k".into());
    expect_that!(book.query(&query("k", 1, 10)), eq(&ClaimState::Tombstoned));
    book.finish(&caller(), &"k".into());
    expect_that!(book.query(&query("k", 1, 10)), eq(&ClaimState::Tombstoned));
}

#[gtest]
fn a_forgotten_claim_is_unknown_and_never_begins_again() {
    let mut book = book(2);
    for (i, key) in ["a", "b", "c"].into_iter().enumerate() {
        let row_version = 10 + i as u64;
        book.begin(&caller(), &ticket(key, 1, row_version), attempt(1))
            .unwrap();
        book.finish(&caller(), &key.into());
    }
    expect_that!(book.query(&query("a", 1, 10)), eq(&ClaimState::Unknown));
    expect_that!(
        book.begin(&caller(), &ticket("a", 1, 10), attempt(2)),
        err(eq(ClaimRejection::Stale))
    );
    expect_that!(
        book.query(&query("c", 1, 12)),
        eq(&ClaimState::Finished {
            attempt: attempt(1)
        })
    );
    expect_that!(
        book.query(&query("new", 1, 13)),
        eq(&ClaimState::Tombstoned)
    );
}

#[gtest]
fn a_running_claim_is_never_forgotten() {
    let mut book = book(1);
    book.begin(&caller(), &ticket("long", 1, 1), attempt(1))
        .unwrap();
    for row_version in 2..50 {
        let key = format!("k{row_version}");
        book.begin(&caller(), &ticket(&key, 1, row_version), attempt(1))
            .unwrap();
        book.finish(&caller(), &key.as_str().into());
    }
    expect_that!(
        book.query(&query("long", 1, 1)),
        eq(&ClaimState::Running {
            attempt: attempt(1)
        })
    );
}
