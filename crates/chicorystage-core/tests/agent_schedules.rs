//! Random schedules of several agents, their engines and a planner.
//!
//! The simulated engine checks neither memory nor slots: it executes its orders, late, and its
//! answers get lost. After every step no engine may be overcommitted, and each replica must have
//! a slot of its own in the placement table.

mod world;

use googletest::prelude::*;
use proptest::collection::vec;
use proptest::prelude::{ProptestConfig, any};
use proptest::proptest;
use proptest::test_runner::RngSeed;

use crate::world::World;

/// Seed of the schedules; the steps of a failing schedule are printed.
const SEED: u64 = 0x5eed_0001;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 600,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn run(fence_enforced: bool, steps: &[(u8, u8, u8)]) {
    let mut world = World::new(fence_enforced);
    for step in steps {
        world.step(*step);
        world.check();
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn engines_that_enforce_fencing_are_never_overcommitted(
        steps in vec(any::<(u8, u8, u8)>(), 1..300)
    ) {
        run(true, &steps);
    }

    #[test]
    fn engines_that_ignore_fencing_are_never_overcommitted(
        steps in vec(any::<(u8, u8, u8)>(), 1..300)
    ) {
        run(false, &steps);
    }
}

#[gtest]
fn schedules_reach_orders_slot_releases_restarts_and_lost_answers() {
    for fence_enforced in [true, false] {
        let mut world = World::new(fence_enforced);
        let mut state: u64 = SEED;
        for _ in 0..40_000 {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let [a, b, c, ..] = state.to_be_bytes();
            world.step((a, b, c));
            world.check();
        }
        println!("{:?}", world.counts);
        expect_that!(world.counts.orders_done, gt(100));
        expect_that!(world.counts.slots_released, gt(10));
        expect_that!(world.counts.agent_restarts, gt(100));
        expect_that!(world.counts.answers_lost, gt(100));
    }
}
