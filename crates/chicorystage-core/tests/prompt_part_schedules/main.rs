//! Random schedules of crashes at engines behind several gateways: which prompt parts are quarantined.

mod fleet_world;

use chicorystage_api::name::{PromptPartId, ServiceName};
use chicorystage_core::suspects::prompt_parts::{PartEvidence, ServicePart};
use fleet_world::{FleetWorld, Poison, SETTLED_MS};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Requests with the part that may reach engines later than [`SETTLED_MS`] after the fifth crash.
const LATE_REQUESTS_MAX: usize = 3;

/// Number of schedules of a test.
const CASES: u32 = 40;
const SEED: u64 = 43;

/// Returns the number and the seed of the schedules; `PROMPT_PART_CASES` and `PROMPT_PART_SEED` set others.
fn config() -> ProptestConfig {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    let cases = number("PROMPT_PART_CASES").and_then(|cases| u32::try_from(cases).ok());
    ProptestConfig {
        rng_seed: RngSeed::Fixed(number("PROMPT_PART_SEED").unwrap_or(SEED)),
        failure_persistence: None,
        ..ProptestConfig::with_cases(cases.unwrap_or(CASES))
    }
}

fn only_the_bad_part(quarantined: &[ServicePart]) -> bool {
    quarantined.iter().all(|part| part.part.as_str() == "bad")
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn part_that_crashes_engines_is_stopped_and_no_other_is_quarantined(
        seed in any::<u64>(), share in 0.01_f64..0.3, gateways in 1_usize..9,
    ) {
        let mut world = FleetWorld::new(seed, gateways);
        world.run(4_000);
        world.poison = Some(Poison::new(share, false));
        world.run(20_000);
        prop_assert!(only_the_bad_part(world.quarantined()), "{:?}", world.quarantined());
        let late = world.late_poison();
        prop_assert!(late <= LATE_REQUESTS_MAX, "{late} later than {SETTLED_MS} ms");
    }

    // Requests wait at the engines, the crash takes the head of the answer with it, and many parts beside it are
    // not answered again.
    #[test]
    fn part_whose_answers_never_begin_is_stopped_beside_rare_parts_and_no_other_is_quarantined(
        seed in any::<u64>(), share in 0.01_f64..0.3, gateways in 1_usize..9,
        wait_max_ms in 160_u64..3_000, second_parts in 60_u32..100_000,
    ) {
        let mut world = FleetWorld::new(seed, gateways);
        world.second_parts = second_parts;
        world.run(4_000);
        let poison = Poison { wait_max_ms, is_head_lost: true, ..Poison::new(share, false) };
        world.poison = Some(poison);
        world.run(20_000);
        prop_assert!(only_the_bad_part(world.quarantined()), "{:?}", world.quarantined());
        let late = world.late_poison();
        prop_assert!(late <= LATE_REQUESTS_MAX, "{late} later than {SETTLED_MS} ms");
    }

    // Right after a start no part is known to be sound.
    #[test]
    fn part_that_crashes_engines_from_the_start_is_stopped_and_no_other_is_quarantined(
        seed in any::<u64>(), share in 0.01_f64..0.3, gateways in 1_usize..9,
    ) {
        let mut world = FleetWorld::new(seed, gateways);
        world.poison = Some(Poison::new(share, false));
        world.run(20_000);
        prop_assert!(only_the_bad_part(world.quarantined()), "{:?}", world.quarantined());
        let late = world.late_poison();
        prop_assert!(late <= LATE_REQUESTS_MAX, "{late} later than {SETTLED_MS} ms");
    }

    #[test]
    fn part_that_crashes_engines_is_stopped_when_all_gateways_are_killed_meanwhile(
        seed in any::<u64>(), share in 0.02_f64..0.3, gateways in 1_usize..9,
        killed_after_ms in 500_u64..6_000,
    ) {
        let mut world = FleetWorld::new(seed, gateways);
        world.run(4_000);
        world.poison = Some(Poison::new(share, false));
        world.run(killed_after_ms);
        world.kill_all_gateways();
        world.run(20_000);
        prop_assert!(only_the_bad_part(world.quarantined()), "{:?}", world.quarantined());
        // They are in touch again so long after the kill, and know nothing of the crashes before.
        let late = world.late_poison();
        prop_assert!(late <= LATE_REQUESTS_MAX, "{late} later than {SETTLED_MS} ms");
    }

    // Requests with the part are the only ones: its first part is in each crash too.
    #[test]
    fn part_that_crashes_engines_is_told_from_the_first_part_without_other_requests(
        seed in any::<u64>(), gateways in 1_usize..9,
    ) {
        let mut world = FleetWorld::new(seed, gateways);
        world.poison = Some(Poison::new(0.05, true));
        world.run(30_000);
        prop_assert!(only_the_bad_part(world.quarantined()), "{:?}", world.quarantined());
        prop_assert!(!world.quarantined().is_empty());
    }

    // On a route without requests for a while, no part is known to be sound any more, and one gateway may
    // be the only one that has seen answers.
    #[test]
    fn part_that_crashes_engines_is_told_from_the_parts_around_it_after_an_idle_time(
        seed in any::<u64>(), gateways in 1_usize..9, idle_ms in 8_000_u64..120_000,
        sound_per_s in 2.0_f64..45.0, entry_gateways in 1_usize..9,
    ) {
        let mut world = FleetWorld::new(seed, gateways);
        world.has_tail = true;
        world.entry_gateways = entry_gateways.min(gateways);
        world.requests_per_s = sound_per_s;
        world.run(6_000);
        world.requests_per_s = 0.0;
        world.run(idle_ms);
        world.entry_gateways = gateways;
        world.requests_per_s = 45.0;
        world.poison = Some(Poison::new(0.05, true));
        world.run(20_000);
        prop_assert!(only_the_bad_part(world.quarantined()), "{:?}", world.quarantined());
        prop_assert!(!world.quarantined().is_empty());
        let late = world.late_poison();
        prop_assert!(late <= LATE_REQUESTS_MAX, "{late} later than {SETTLED_MS} ms");
    }

    // After a kill of all gateways nothing tells the crashing part from those around it, until a sound request
    // comes again.
    #[test]
    fn sound_part_that_was_taken_for_the_cause_is_served_again(
        seed in any::<u64>(), gateways in 1_usize..9, share in 0.02_f64..0.1,
    ) {
        let mut world = FleetWorld::new(seed, gateways);
        world.has_tail = true;
        world.run(4_000);
        world.kill_all_gateways();
        world.poison = Some(Poison::new(share, true));
        world.run(20_000);
        world.poison = Some(Poison::new(share, false));
        world.run(30_000);
        let in_force = world.quarantined_now();
        prop_assert!(only_the_bad_part(&in_force) && !in_force.is_empty(), "{in_force:?}");
        world.sound_sent = 0;
        world.sound_refused = 0;
        world.run(5_000);
        prop_assert_eq!(world.sound_refused, 0);
        prop_assert!(world.sound_sent > 0);
        let late = world.late_poison();
        prop_assert!(late <= LATE_REQUESTS_MAX, "{late} later than {SETTLED_MS} ms");
    }

    #[test]
    fn engines_that_crash_for_another_reason_quarantine_no_part(
        seed in any::<u64>(), gateways in 1_usize..9,
        single_crashes_per_s in 0.0_f64..1.5, outages in 0_u64..5,
    ) {
        let mut world = FleetWorld::new(seed, gateways);
        world.single_crashes_per_s = single_crashes_per_s;
        for _ in 0..=outages {
            world.run(5_000);
            // Many requests with a part that no answer has proved sound yet.
            world.fan_out();
            world.run(40);
            world.crash_zones();
        }
        world.run(5_000);
        prop_assert!(world.quarantined().is_empty(), "{:?}", world.quarantined());
    }
}

// Gateways notice the loss of each engine at a time of its own.
proptest! {
    #![proptest_config(config())]

    #[test]
    fn engines_that_fall_silent_together_quarantine_no_part(
        seed in any::<u64>(), gateways in 1_usize..9, noticed_max_ms in 100_u64..3_000,
        outages in 1_u64..5,
    ) {
        let mut world = FleetWorld::new(seed, gateways);
        world.noticed_max_ms = noticed_max_ms;
        for _ in 0..outages {
            world.run(5_000);
            world.fan_out();
            world.run(40);
            world.crash_zones();
        }
        world.run(5_000);
        prop_assert!(world.quarantined().is_empty(), "{:?}", world.quarantined());
    }
}

// Another process may remember a part from long ago and tell so first; that it is sound now says more.
#[test]
fn news_that_a_part_was_sound_does_not_hold_back_that_it_is() {
    let (service, part) = (ServiceName::from("llm"), PromptPartId::from("p"));
    let parts = std::slice::from_ref(&part);
    let mut evidence = PartEvidence::default();
    evidence.record_sound(1_000, &service, parts);
    evidence.merge_formerly_sound(1_120, &service, parts);
    let untold = evidence.take_untold(1_180, 1_100, &service, vec![part.clone()]);
    assert_eq!(untold, [part]);
}
