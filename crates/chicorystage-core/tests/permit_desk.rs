//! The permit limiter keeps its limits, serves waiting requests in order and tolerates repeats.

use chicorystage_api::inventory::Class;
use chicorystage_api::peer::{PermitKind, PermitRequest};
use chicorystage_core::permit::{PermitDecision, PermitLimiter, PermitLimits};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const LIMITS: PermitLimits = PermitLimits {
    loads_concurrent_max: 4,
    loads_per_s_max: 4,
    adapter_fetches_max: 30,
};

fn request(ticket: u64, class: Class, time_left_ms: u64) -> PermitRequest {
    PermitRequest {
        vm: "vm-1".into(),
        ticket,
        kind: PermitKind::Model,
        class,
        time_left_ms,
    }
}

fn id(decision: PermitDecision) -> Option<u64> {
    match decision {
        PermitDecision::Granted { permit_id, .. } => Some(permit_id),
        PermitDecision::Wait { .. } => None,
    }
}

#[gtest]
fn repeated_request_gets_the_same_permit_and_counts_once() {
    let mut limiter = PermitLimiter::new(9);
    let first = id(limiter.acquire(&request(1, Class::Standard, 1_000), LIMITS, 0));
    expect_that!(first, some(anything()));
    expect_that!(
        id(limiter.acquire(&request(1, Class::Standard, 900), LIMITS, 100)),
        eq(first)
    );
    expect_that!(limiter.outstanding(PermitKind::Model), eq(1));
}

#[gtest]
fn waiting_requests_are_served_by_class_then_deadline() {
    let mut limiter = PermitLimiter::new(0);
    let permits: Vec<_> = (0..4)
        .map(|i| id(limiter.acquire(&request(i, Class::Batch, 10), LIMITS, 0)))
        .collect();
    let waiting = [
        (10, Class::Batch, 1),
        (11, Class::Standard, 500),
        (12, Class::Standard, 400),
    ];
    for (ticket, class, left_ms) in waiting {
        expect_that!(
            id(limiter.acquire(&request(ticket, class, left_ms), LIMITS, 700)),
            none()
        );
    }
    limiter.release(permits[0].expect("granted"));
    let mut poll = |ticket, class, left_ms| {
        id(limiter.acquire(&request(ticket, class, left_ms), LIMITS, 1_000))
    };
    expect_that!(poll(10, Class::Batch, 1), none());
    expect_that!(poll(11, Class::Standard, 500), none());
    expect_that!(poll(12, Class::Standard, 400), some(anything()));
}

#[gtest]
fn unreleased_permit_expires() {
    let mut limiter = PermitLimiter::new(0);
    for i in 0..4 {
        limiter.acquire(&request(i, Class::Batch, 10), LIMITS, 0);
    }
    expect_that!(
        id(limiter.acquire(&request(9, Class::Interactive, 10), LIMITS, 119_999)),
        none()
    );
    expect_that!(
        id(limiter.acquire(&request(9, Class::Interactive, 10), LIMITS, 120_000)),
        some(anything())
    );
}

#[gtest]
fn random_polls_never_exceed_the_limits() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut limiter = PermitLimiter::new(0);
    let (mut now_ms, mut starts, mut seen) = (0, Vec::new(), Vec::new());
    for _ in 0..20_000 {
        now_ms += rng.random_range(0..20);
        let ticket = rng.random_range(0..10);
        if let Some(permit) = id(limiter.acquire(
            &request(ticket, Class::Standard, 1_000_000 - now_ms),
            LIMITS,
            now_ms,
        )) && !seen.contains(&permit)
        {
            seen.push(permit);
            starts.push(now_ms);
        }
        if rng.random_bool(0.3) && !seen.is_empty() {
            limiter.release(seen[rng.random_range(seen.len().saturating_sub(6)..seen.len())]);
        }
        assert_that!(limiter.outstanding(PermitKind::Model), le(4));
        assert_that!(
            starts
                .iter()
                .filter(|start| **start + 1_000 > now_ms)
                .count(),
            le(4)
        );
    }
    expect_that!(starts.len(), gt(500));
}
