//! Conditions under which an agent has a fencing token and may send orders to its engine.

use chicorystage_core::fence::{Fence, FenceStatus, FenceStep};
use googletest::prelude::*;

const START_MS: u64 = 1_000;
const IN_FLIGHT_MAX_MS: u64 = 500;
const UNIX_MS: u64 = 77_000;

fn status(fence_enforced: bool, fence_highest: u64, begun_ms: u64) -> FenceStatus {
    FenceStatus {
        engine_run: 1,
        fence_highest,
        fence_enforced,
        order_in_flight_max_ms: IN_FLIGHT_MAX_MS,
        requested_ms: begun_ms,
        unix_ms: UNIX_MS,
    }
}

#[gtest]
fn engine_without_fencing_delays_the_agent_by_the_in_flight_bound() {
    let mut fence = Fence::new(START_MS);
    let steps = [1_001, 1_500, 1_501].map(|begun_ms| fence.on_status(&status(false, 0, begun_ms)));
    expect_that!(
        steps,
        eq([FenceStep::Wait, FenceStep::Wait, FenceStep::Open(UNIX_MS)])
    );
}

#[gtest]
fn engine_with_fencing_receives_the_token_first() {
    let mut fence = Fence::new(START_MS);
    let step = fence.on_status(&status(true, 80_000, 1_001));
    expect_that!(step, eq(FenceStep::Raise(80_001)));
    expect_that!(fence.token(), none());
    let step = fence.on_status(&status(true, 80_001, 1_002));
    expect_that!(step, eq(FenceStep::Open(80_001)));
}

#[gtest]
fn restarted_engine_receives_a_higher_token() {
    let mut fence = Fence::new(START_MS);
    fence.on_status(&status(true, 0, 1_001));
    fence.on_status(&status(true, UNIX_MS, 1_002));
    expect_that!(fence.token(), some(eq(UNIX_MS)));
    let restarted = FenceStatus {
        engine_run: 2,
        ..status(true, 0, 1_003)
    };
    expect_that!(
        fence.on_status(&restarted),
        eq(FenceStep::Raise(UNIX_MS + 1))
    );
    expect_that!(fence.token(), none());
}

#[gtest]
fn agent_that_observes_a_higher_token_loses_its_own() {
    let mut fence = Fence::new(START_MS);
    fence.on_status(&status(true, 0, 1_001));
    fence.on_status(&status(true, UNIX_MS, 1_002));
    let step = fence.on_status(&status(true, UNIX_MS + 9, 1_003));
    expect_that!(step, eq(FenceStep::Superseded));
    expect_that!(fence.token(), none());
}
