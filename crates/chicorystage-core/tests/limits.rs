//! Rate and concurrency limits per caller.

use chicorystage_api::name::CallerName;
use chicorystage_core::limits::{CallerLimits, CallerMeters, LimitExceeded};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::with_cases(400)
    }
}

proptest! {
    #![proptest_config(config())]

    /// In any window a caller is admitted at most the burst plus the tokens refilled in it.
    #[test]
    fn admitted_requests_stay_within_rate_and_concurrency(
        rate_per_s in 0_u32..50,
        burst in 1_u32..10,
        concurrent_max in 1_u32..6,
        steps in prop::collection::vec((0_u64..400, any::<bool>()), 1..200),
    ) {
        let limits = CallerLimits { rate_per_s, burst, concurrent_max };
        let caller = CallerName::from("field");
        let mut meters = CallerMeters::default();
        let mut now_ms = 0;
        let mut admitted_ms: Vec<u64> = Vec::new();
        let mut in_progress = 0;
        for (pause_ms, leave) in steps {
            now_ms += pause_ms;
            if leave && in_progress > 0 {
                meters.release(&caller);
                in_progress -= 1;
            }
            if meters.admit(now_ms, &caller, limits).is_ok() {
                in_progress += 1;
                admitted_ms.push(now_ms);
            }
            prop_assert!(in_progress <= concurrent_max);
            for start_ms in &admitted_ms {
                let window = admitted_ms.iter().filter(|at_ms| *at_ms >= start_ms).count() as u64;
                let refill = (now_ms - start_ms) * u64::from(rate_per_s) / 1_000;
                prop_assert!(window <= u64::from(burst) + refill + 1);
            }
        }
    }
}

#[gtest]
fn rejected_request_gets_the_time_of_the_next_token_and_is_admitted_then() {
    let limits = CallerLimits {
        rate_per_s: 4,
        burst: 1,
        concurrent_max: 10,
    };
    let caller = CallerName::from("field");
    let mut meters = CallerMeters::default();
    expect_that!(meters.admit(0, &caller, limits), ok(anything()));
    let exceeded = LimitExceeded::Rate {
        retry_after_ms: Some(250),
    };
    expect_that!(meters.admit(0, &caller, limits), err(eq(exceeded)));
    expect_that!(meters.admit(249, &caller, limits), err(anything()));
    expect_that!(meters.admit(250, &caller, limits), ok(anything()));
}
