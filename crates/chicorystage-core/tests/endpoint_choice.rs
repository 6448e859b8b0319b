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

fn chosen(book: &EndpointTracker, now_ms: u64, vms: &[&str]) -> String {
    let chosen = book.choose(now_ms, &candidates(vms), None);
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
fn report(book: &mut EndpointTracker, now_ms: u64, vm: &str, running: u32) {
    let vm = VmId::from(vm);
    book.started(now_ms, &vm);
    book.ended(now_ms, &vm, Some(load(running)));
}

#[gtest]
fn report_is_corrected_by_what_was_sent_since() {
    let mut book = EndpointTracker::default();
    report(&mut book, 0, "a", 0);
    report(&mut book, 0, "b", 3);
    for _ in 0..3 {
        expect_that!(chosen(&book, 0, &["a", "b"]), eq("a"));
        book.started(0, &"a".into());
    }
    book.started(0, &"a".into());
    expect_that!(chosen(&book, 0, &["a", "b"]), eq("b"));
}

#[gtest]
fn burst_spreads_over_equal_endpoints_between_reports() {
    let mut book = EndpointTracker::default();
    for i in 0..30 {
        let vm = VmId::from(chosen(&book, i, &["a", "b", "c"]));
        book.started(i, &vm);
    }
    for vm in ["a", "b", "c"] {
        expect_that!(book.in_flight(&vm.into()), eq(10));
    }
}

#[gtest]
fn old_report_of_others_fades() {
    let mut book = EndpointTracker::default();
    report(&mut book, 0, "a", 40);
    report(&mut book, 0, "b", 0);
    book.started(0, &"b".into());
    expect_that!(chosen(&book, 100, &["a", "b"]), eq("b"));
    expect_that!(chosen(&book, 60_000, &["a", "b"]), eq("a"));
}

#[gtest]
fn zone_decides_between_equals_and_gives_way_to_a_queue() {
    let mut book = EndpointTracker::default();
    expect_that!(chosen(&book, 0, &["far", "near"]), eq("near"));
    report(&mut book, 0, "near", 8);
    expect_that!(chosen(&book, 0, &["far", "near"]), eq("far"));
}

#[gtest]
fn prefix_attracts_until_a_queue_forms() {
    let mut book = EndpointTracker::default();
    let mut hints = PrefixHints::default();
    let key = prefix_key("moisture", &"lot ".repeat(100)).unwrap();
    hints.put(key, "b".into());
    let at = hints.get(key);
    let choose = |book: &EndpointTracker| book.choose(0, &candidates(&["a", "b"]), at).unwrap();
    expect_that!(choose(&book).vm, eq(&VmId::from("b")));
    report(&mut book, 0, "b", 8);
    expect_that!(choose(&book).vm, eq(&VmId::from("a")));
    expect_that!(prefix_key("moisture", "short"), none());
}

#[gtest]
fn estimated_wait_counts_the_queue_ahead() {
    let mut book = EndpointTracker::default();
    report(&mut book, 0, "a", 11);
    let wait = book.choose(0, &candidates(&["a"]), None).unwrap();
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
    let mut book = EndpointTracker::default();
    book.unanswered(0, &"a".into());
    expect_that!(chosen(&book, 0, &["a", "b"]), eq("b"));
    expect_that!(chosen(&book, 4_000, &["a", "b"]), eq("b"));
    expect_that!(chosen(&book, 5_000, &["a", "b"]), eq("a"));
    expect_that!(chosen(&book, 0, &["a"]), eq("a"));
    report(&mut book, 1, "a", 0);
    expect_that!(chosen(&book, 1, &["a", "b"]), eq("a"));
}
