//! Routers that share one retry budget together stay within its bound in every window.

use chicorystage_core::retry::SharedRetryBudget;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RATIO: f64 = 0.2;
const ALLOWANCE: f64 = 54.0;
const WINDOW_MS: u64 = 10_000;

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
        let mut budgets = vec![SharedRetryBudget::new(RATIO, ALLOWANCE, WINDOW_MS); routers];
        let (mut now_ms, mut first_attempts, mut retries) = (0, Vec::new(), Vec::new());
        for (router, pause_ms, is_first_attempt) in steps {
            now_ms += pause_ms;
            let budget = &mut budgets[router % routers];
            if is_first_attempt {
                budget.record_first_attempt(now_ms);
                first_attempts.push(now_ms);
            }
            while budget.try_take(now_ms, routers) {
                retries.push(now_ms);
            }
        }
        for end_ms in (WINDOW_MS..now_ms + WINDOW_MS).step_by(250) {
            let within = |times: &[u64]| {
                let count = times.iter().filter(|at_ms| (end_ms - WINDOW_MS..end_ms).contains(*at_ms)).count();
                f64::from(u32::try_from(count).expect("a small number"))
            };
            let before = |times: &[u64]| {
                let from_ms = end_ms.saturating_sub(2 * WINDOW_MS);
                let count = times.iter().filter(|at_ms| (from_ms..end_ms - WINDOW_MS).contains(*at_ms)).count();
                f64::from(u32::try_from(count).expect("a small number"))
            };
            // The bound counts the first attempts of this window or the previous one, whichever
            // has more.
            let bound = RATIO * within(&first_attempts).max(before(&first_attempts)) + ALLOWANCE;
            prop_assert!(within(&retries) <= bound, "{} of {bound} until {end_ms}", within(&retries));
        }
    }
}

#[test]
fn single_router_may_retry_at_once() {
    let mut budget = SharedRetryBudget::new(RATIO, ALLOWANCE, WINDOW_MS);
    budget.record_first_attempt(0);
    assert_that!(budget.try_take(0, 1), eq(true));
}

#[test]
fn many_routers_have_no_retry_budget_before_the_first_request() {
    let mut budget = SharedRetryBudget::new(RATIO, ALLOWANCE, WINDOW_MS);
    assert_that!(budget.try_take(0, 60), eq(false));
}
