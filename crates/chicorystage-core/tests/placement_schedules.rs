//! Random schedules of two planners and the agents of three VMs, on one model.
//!
//! An agent that may load the model, or has it loaded, always has a slot, and no commit adds a slot
//! beyond the cap.

#[path = "support/placement_world.rs"]
mod placement_world;

use googletest::prelude::*;
use placement_world::{Action, World};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 400;
const STEPS: usize = 220;
const VMS: usize = 3;

fn action() -> impl Strategy<Value = Action> {
    let index = 0..64_usize;
    prop_oneof![
        4 => (0..2_usize, 0..9_u8, 0..VMS).prop_map(|(planner, selector, avoid)| Action::Start { planner, selector, avoid }),
        5 => (0..2_usize).prop_map(|planner| Action::Read { planner }),
        5 => (index.clone(), proptest::bool::weighted(0.7)).prop_map(|(at, answered)| Action::Commit { at, answered }),
        4 => (0..2_usize, 0..VMS).prop_map(|(planner, vm)| Action::Push { planner, vm }),
        5 => (index.clone(), any::<bool>()).prop_map(|(at, keep)| Action::DeliverPush { at, keep }),
        3 => (0..2_usize, index).prop_map(|(planner, at)| Action::DeliverRelease { planner, at }),
        3 => (0..VMS).prop_map(|vm| Action::Load { vm }),
        1 => (0..VMS).prop_map(|vm| Action::Unload { vm }),
        1 => (0..VMS).prop_map(|vm| Action::Restart { vm }),
        2 => (0..VMS).prop_map(|vm| Action::BeginRead { vm }),
        2 => (0..VMS).prop_map(|vm| Action::EndRead { vm }),
        1 => (0..VMS).prop_map(|vm| Action::Replace { vm }),
        3 => (0..2_usize, any::<bool>()).prop_map(|(planner, stale)| Action::RefreshList { planner, stale }),
        2 => (0..8_000_u64).prop_map(|ms| Action::Advance { ms }),
        1 => (0..4_u32).prop_map(|cap| Action::SetCap { cap }),
    ]
}

#[gtest]
fn agents_that_may_load_have_a_slot_and_slots_stay_within_the_cap() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let schedules = proptest::collection::vec(action(), STEPS);
    let result = runner.run(&schedules, |actions| {
        let mut world = World::new(VMS, 2);
        for action in &actions {
            world.apply(action);
            world.check();
        }
        Ok(())
    });
    verify_that!(result, ok(anything())).and_log_failure();
}
