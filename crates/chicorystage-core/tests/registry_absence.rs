//! When an endpoint that is missing from the registry counts as gone.

use chicorystage_api::name::EndpointId;
use chicorystage_core::registry::{Absence, AbsenceTracker, Contact};
use googletest::prelude::*;

const HEARTBEAT_MS: u64 = 1_200;
/// Time within which endpoints register again after an outage, by the platform's contract.
const REREGISTRATION_MS: u64 = 2_000;
/// Time from the end of an outage until the bound on requests to endpoints that left holds again.
const CONTACT_MS: u64 = 3_000;

fn endpoint() -> EndpointId {
    EndpointId::from("e1")
}

/// Returns a tracker at the end of an outage from `start_ms` to `end_ms`.
fn after_outage(start_ms: u64, end_ms: u64) -> AbsenceTracker {
    let mut tracker = AbsenceTracker::new(HEARTBEAT_MS);
    for now_ms in (start_ms..end_ms).step_by(500) {
        tracker.call_failed(now_ms, now_ms);
    }
    tracker.call_answered(end_ms);
    tracker
}

#[gtest]
fn endpoint_absent_without_an_outage_is_gone_at_once() {
    let mut tracker = AbsenceTracker::new(HEARTBEAT_MS);
    expect_that!(
        tracker.endpoint_absent(10_000, &endpoint()),
        eq(Absence::Gone)
    );
    expect_that!(tracker.due_ms(), none());
}

#[gtest]
fn call_that_fails_alone_defers_no_removal_however_long_it_had_waited() {
    for waited_ms in [0, 1_000, 2_400, 60_000] {
        let mut tracker = AbsenceTracker::new(HEARTBEAT_MS);
        let now_ms = 100_000;
        expect_true!(tracker.call_failed(now_ms - waited_ms, now_ms));
        let contact = tracker.call_answered(now_ms + 250);
        let expected = Contact {
            away_ms: waited_ms + 250,
            is_outage: false,
        };
        expect_that!(contact, some(eq(expected)));
        let absence = tracker.endpoint_absent(now_ms + 250, &endpoint());
        expect_that!(absence, eq(Absence::Gone));
    }
}

#[gtest]
fn failures_shorter_than_an_entry_lives_defer_no_removal() {
    let mut tracker = after_outage(10_000, 12_300);
    expect_that!(
        tracker.endpoint_absent(12_300, &endpoint()),
        eq(Absence::Gone)
    );
}

#[gtest]
fn endpoint_absent_after_an_outage_is_kept_until_it_could_have_registered_again() {
    let mut tracker = after_outage(10_000, 15_000);
    let absence = tracker.endpoint_absent(15_000, &endpoint());
    expect_that!(absence, matches_pattern!(Absence::Kept { .. }));
    expect_that!(tracker.take_gone(15_000 + REREGISTRATION_MS), is_empty());
    let gone = tracker.take_gone(15_000 + CONTACT_MS);
    expect_that!(gone, contains(eq(&endpoint())));
    expect_false!(tracker.has_absent());
}

#[gtest]
fn endpoint_that_is_back_after_an_outage_is_not_removed() {
    let mut tracker = after_outage(10_000, 15_000);
    let _kept = tracker.endpoint_absent(15_000, &endpoint());
    tracker.endpoint_present(&endpoint());
    expect_that!(tracker.take_gone(60_000), is_empty());
}

#[gtest]
fn later_failures_that_are_no_outage_do_not_prolong_the_deferral() {
    let mut tracker = after_outage(10_000, 15_000);
    let _kept = tracker.endpoint_absent(15_000, &endpoint());
    for now_ms in (15_100..17_900).step_by(300) {
        tracker.call_failed(now_ms - 50, now_ms);
        tracker.call_answered(now_ms + 10);
    }
    let gone = tracker.take_gone(15_000 + CONTACT_MS);
    expect_that!(gone, contains(eq(&endpoint())));
}

#[gtest]
fn absent_endpoints_are_kept_through_a_second_outage() {
    let mut tracker = after_outage(10_000, 15_000);
    let _kept = tracker.endpoint_absent(15_000, &endpoint());
    tracker.call_failed(15_500, 15_500);
    expect_that!(tracker.take_gone(19_000), is_empty());
    tracker.call_answered(20_000);
    expect_that!(tracker.take_gone(20_000 + REREGISTRATION_MS), is_empty());
    let gone = tracker.take_gone(20_000 + CONTACT_MS);
    expect_that!(gone, contains(eq(&endpoint())));
}
