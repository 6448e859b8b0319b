//! Random schedules of requests and retries that arrive at once.

use chicorystage_core::retry::BudgetShare;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::world::{Process, WINDOW_MS, breach, new_budget, one_of, take_and_settle};

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::with_cases(100)
    })]

    // Each step is a request at one router, which then takes as many retries as its budget allows.
    #[test]
    fn routers_together_stay_under_the_bound(
        routers in 1_usize..40,
        steps in prop::collection::vec((any::<usize>(), 0_u64..40, any::<bool>()), 0..3_000),
    ) {
        let mut budgets = vec![new_budget(0); routers];
        let (mut now_ms, mut first_attempts, mut retries) = (0, Vec::new(), Vec::new());
        for (router, pause_ms, is_first_attempt) in steps {
            now_ms += pause_ms;
            let budget = &mut budgets[router % routers];
            if is_first_attempt {
                budget.record_first_attempt(now_ms);
                first_attempts.push(now_ms);
            }
            while take_and_settle(budget, now_ms, one_of(routers)) {
                retries.push(now_ms);
            }
        }
        prop_assert_eq!(breach(&first_attempts, &retries), None);
    }

    // A router that starts anew does not know what its predecessor has spent.
    #[test]
    fn routers_that_start_anew_stay_under_the_bound(
        routers in 1_usize..40,
        steps in prop::collection::vec((any::<usize>(), 0_u64..40, any::<bool>(), 0_u32..200), 0..3_000),
    ) {
        let mut processes = vec![Process::first(); routers];
        let (mut now_ms, mut first_attempts, mut retries) = (0, Vec::new(), Vec::new());
        for (router, pause_ms, is_first_attempt, fault) in steps {
            now_ms += pause_ms;
            match fault {
                0 => processes.iter_mut().for_each(|process| process.restart(now_ms)),
                1..=20 => processes[router % routers].restart(now_ms),
                _ => {}
            }
            let process = &mut processes[router % routers];
            if is_first_attempt {
                process.budget.record_first_attempt(now_ms);
                first_attempts.push(now_ms);
            }
            let share = BudgetShare { routers, predecessor: process.predecessor };
            while take_and_settle(&mut process.budget, now_ms, share) {
                retries.push(now_ms);
            }
        }
        prop_assert_eq!(breach(&first_attempts, &retries), None);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(25),
        failure_persistence: None,
        ..ProptestConfig::with_cases(400)
    })]

    // Each burst takes all retries that the budgets allow, for few first attempts.
    #[test]
    fn bursts_about_a_window_apart_stay_under_the_bound(
        routers in 1_usize..8,
        bursts in prop::collection::vec((0_u64..500, prop::bool::weighted(0.7), 0_u32..20), 1..12),
    ) {
        let mut budgets = vec![new_budget(0); routers];
        let (mut now_ms, mut first_attempts, mut retries) = (3 * WINDOW_MS, Vec::new(), Vec::new());
        for (shift_ms, is_near_edge, requests) in bursts {
            now_ms += if is_near_edge { WINDOW_MS - shift_ms } else { 10 * shift_ms };
            for budget in &mut budgets {
                for _ in 0..requests {
                    budget.record_first_attempt(now_ms);
                    first_attempts.push(now_ms);
                }
                while take_and_settle(budget, now_ms, one_of(routers)) {
                    retries.push(now_ms);
                }
            }
        }
        prop_assert_eq!(breach(&first_attempts, &retries), None);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(27),
        failure_persistence: None,
        ..ProptestConfig::with_cases(400)
    })]

    // Up to two fifths more routers join and know all others, which are cut off and know none of them.
    #[test]
    fn routers_that_the_others_do_not_know_stay_under_the_bound(
        routers in 3_usize..12,
        joining_tenths in 0_usize..=4,
        steps in prop::collection::vec((any::<usize>(), 0_u64..3_000, 0_u32..20), 1..40),
    ) {
        let all = routers + routers * joining_tenths / 10;
        let mut budgets = vec![new_budget(0); all];
        let (mut now_ms, mut first_attempts, mut retries) = (3 * WINDOW_MS, Vec::new(), Vec::new());
        for (router, pause_ms, requests) in steps {
            now_ms += pause_ms;
            let router = router % all;
            let known = if router < routers { routers } else { all };
            for _ in 0..requests {
                budgets[router].record_first_attempt(now_ms);
                first_attempts.push(now_ms);
            }
            while take_and_settle(&mut budgets[router], now_ms, one_of(known)) {
                retries.push(now_ms);
            }
        }
        prop_assert_eq!(breach(&first_attempts, &retries), None);
    }
}
