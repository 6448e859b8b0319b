//! Choice of the endpoint with the least estimated wait, from load reports and own requests.
//!
//! Reports lag, so the estimate adds the requests that this router has in flight since the report.

use chicorystage_api::name::VmId;
use chicorystage_api::work::EndpointLoad;
use chicorystage_core::choice::{Candidate, EndpointTracker, PrefixHints, prefix_key};
use googletest::prelude::*;

fn candidates(vms: &[&str]) -> Vec<Candidate> {
    let candidate = |vm: &&str| Candidate {
        vm: (*vm).into(),
        same_zone: !vm.starts_with("far"),
    };
    vms.iter().map(candidate).collect()
}

fn chosen(tracker: &EndpointTracker, now_ms: u64, vms: &[&str]) -> String {
    let chosen = tracker.choose(now_ms, &candidates(vms), None);
    chosen.unwrap().vm.to_string()
}

fn load(running: u32) -> EndpointLoad {
    EndpointLoad {
        running,
        queued: 0,
        service_time_ms: 100,
        slots: 4,
    }
}

/// Records a request whose answer carries the endpoint's load.
fn report(tracker: &mut EndpointTracker, now_ms: u64, vm: &str, running: u32) {
    let vm = VmId::from(vm);
    tracker.started(now_ms, &vm);
    tracker.ended(now_ms, &vm, Some(load(running)));
}

#[gtest]
fn report_is_corrected_by_what_was_sent_since() {
    let mut tracker = EndpointTracker::default();
    report(&mut tracker, 0, "a", 0);
    report(&mut tracker, 0, "b", 3);
    for _ in 0..3 {
        expect_that!(chosen(&tracker, 0, &["a", "b"]), eq("a"));
        tracker.started(0, &"a".into());
    }
    tracker.started(0, &"a".into());
    expect_that!(chosen(&tracker, 0, &["a", "b"]), eq("b"));
}

#[gtest]
fn burst_spreads_over_equal_endpoints_between_reports() {
    let mut tracker = EndpointTracker::default();
    for i in 0..30 {
        let vm = VmId::from(chosen(&tracker, i, &["a", "b", "c"]));
        tracker.started(i, &vm);
    }
    for vm in ["a", "b", "c"] {
        expect_that!(tracker.in_flight(&vm.into()), eq(10));
    }
}

#[gtest]
fn reported_load_decays_with_age() {
    let mut tracker = EndpointTracker::default();
    report(&mut tracker, 0, "a", 40);
    report(&mut tracker, 0, "b", 0);
    tracker.started(0, &"b".into());
    expect_that!(chosen(&tracker, 100, &["a", "b"]), eq("b"));
    expect_that!(chosen(&tracker, 60_000, &["a", "b"]), eq("a"));
}

#[gtest]
fn zone_decides_between_equals_and_gives_way_to_a_queue() {
    let mut tracker = EndpointTracker::default();
    expect_that!(chosen(&tracker, 0, &["far", "near"]), eq("near"));
    report(&mut tracker, 0, "near", 8);
    expect_that!(chosen(&tracker, 0, &["far", "near"]), eq("far"));
}

#[gtest]
fn prefix_attracts_until_a_queue_forms() {
    let mut tracker = EndpointTracker::default();
    let mut hints = PrefixHints::default();
    let key = prefix_key("moisture", &"lot ".repeat(100)).unwrap();
    hints.put(key, "b".into());
    let hint = hints.get(key);
    let choose =
        |tracker: &EndpointTracker| tracker.choose(0, &candidates(&["a", "b"]), hint).unwrap();
    expect_that!(choose(&tracker).vm, eq(&VmId::from("b")));
    report(&mut tracker, 0, "b", 8);
    expect_that!(choose(&tracker).vm, eq(&VmId::from("a")));
    expect_that!(prefix_key("moisture", "short"), none());
}

#[gtest]
fn estimated_wait_counts_the_queue_ahead() {
    let mut tracker = EndpointTracker::default();
    report(&mut tracker, 0, "a", 11);
    let wait = tracker.choose(0, &candidates(&["a"]), None).unwrap();
    expect_that!(wait.estimated_wait_ms, eq(200));
}

#[gtest]
fn hints_are_bounded() {
    let mut hints = PrefixHints::default();
    for key in 0..100_000 {
        hints.put(key, "a".into());
    }
    let kept = (0..100_000).filter(|key| hints.get(*key).is_some());
    expect_that!(kept.count(), le(2 * 4_096));
}

#[gtest]
fn endpoint_that_did_not_answer_is_passed_over_for_a_while() {
    let mut tracker = EndpointTracker::default();
    tracker.unanswered(0, &"a".into());
    expect_that!(chosen(&tracker, 0, &["a", "b"]), eq("b"));
    expect_that!(chosen(&tracker, 4_000, &["a", "b"]), eq("b"));
    expect_that!(chosen(&tracker, 5_000, &["a", "b"]), eq("a"));
    expect_that!(chosen(&tracker, 0, &["a"]), eq("a"));
    report(&mut tracker, 1, "a", 0);
    expect_that!(chosen(&tracker, 1, &["a", "b"]), eq("a"));
}
