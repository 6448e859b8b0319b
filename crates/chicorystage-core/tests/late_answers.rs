//! The cause that is named for a late answer.

use std::sync::Arc;

use chicorystage_core::deployment::{Route, RouteKind};
use chicorystage_core::fleet::Choice;
use chicorystage_core::latency::{AnswerTimes, LateCause, WaitReason, WaitTimes};
use googletest::prelude::*;

const OBJECTIVE_MS: u64 = 300;
const PAUSE_OBJECTIVE_MS: u64 = 200;

fn route(pause_objective_ms: u64) -> Route {
    Route {
        name: Arc::from("r"),
        host: Arc::from("h"),
        prefix: Arc::from("/"),
        kind: RouteKind::Idempotent,
        timeout_ms: 10_000,
        objective_ms: OBJECTIVE_MS,
        pause_objective_ms,
        priority: 0,
        endpoints_per_attempt_max: 2,
        is_public: false,
        services: Vec::new(),
    }
}

fn late_cause(waits: &[(WaitReason, u64)], first_ms: u64, pause_max_ms: u64) -> Option<LateCause> {
    let mut times = AnswerTimes {
        waits: WaitTimes::default(),
        first_ms,
        pause_max_ms,
    };
    for (reason, time_ms) in waits {
        times.waits.add(*reason, *time_ms);
    }
    times.late_cause(&route(PAUSE_OBJECTIVE_MS))
}

#[test]
fn answer_within_both_objectives_is_not_late() {
    assert_that!(
        late_cause(
            &[(WaitReason::Model, 290)],
            OBJECTIVE_MS,
            PAUSE_OBJECTIVE_MS
        ),
        none()
    );
}

#[test]
fn late_first_event_is_put_down_to_the_longest_stage() {
    let waits = [(WaitReason::Model, 200), (WaitReason::Adapter, 40)];
    assert_that!(
        late_cause(&waits, 400, 0),
        some(eq(LateCause::Wait(WaitReason::Model)))
    );
    assert_that!(late_cause(&waits, 500, 0), some(eq(LateCause::Endpoint)));
    assert_that!(late_cause(&[], 301, 0), some(eq(LateCause::Endpoint)));
}

// Two waits of 150 ms for the same reason outweigh one of 200 ms.
#[test]
fn waits_for_one_reason_add_up() {
    let waits = [
        (WaitReason::Capacity, 150),
        (WaitReason::Model, 200),
        (WaitReason::Capacity, 150),
    ];
    assert_that!(
        late_cause(&waits, 600, 0),
        some(eq(LateCause::Wait(WaitReason::Capacity)))
    );
}

#[test]
fn pause_counts_only_after_a_first_event_in_time() {
    assert_that!(late_cause(&[], 100, 201), some(eq(LateCause::Pause)));
    assert_that!(late_cause(&[], 301, 201), some(eq(LateCause::Endpoint)));
}

#[test]
fn route_without_a_pause_objective_has_no_late_pause() {
    let times = AnswerTimes {
        first_ms: 100,
        pause_max_ms: 5_000,
        ..AnswerTimes::default()
    };
    assert_that!(times.late_cause(&route(0)), none());
}

#[test]
fn each_choice_without_an_endpoint_has_its_reason() {
    let reasons = [
        (Choice::NoEndpoint, "endpoint"),
        (Choice::NoModel, "model"),
        (Choice::NoAdapter, "adapter"),
        (Choice::Full, "capacity"),
        (Choice::Reading, "prompts"),
    ];
    for (choice, name) in reasons {
        let reason = WaitReason::of(&choice).map(|reason| reason.to_string());
        assert_that!(reason, some(eq(name)), "{choice:?}");
    }
}
