//! The retry budget as a share of first attempts, and the jittered exponential backoff.

use chicorystage_core::retry::{RetryBudget, backoff_ms};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::with_cases(300)
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn retries_stay_within_their_share(
        percent in 0_u32..100,
        steps in prop::collection::vec(any::<bool>(), 0..2_000),
    ) {
        let mut budget = RetryBudget::default();
        let (mut first_attempts, mut retries) = (0, 0);
        for is_first_attempt in steps {
            if is_first_attempt {
                budget.record_first_attempt(percent);
                first_attempts += 1;
            } else {
                retries += u32::from(budget.try_take());
            }
            prop_assert!(retries * 100 <= 20 * 100 + first_attempts * percent);
        }
    }

    #[test]
    fn pauses_grow_within_bounds(retry in 0_u32..100, random in any::<u64>()) {
        let bound_ms = 20_u64.saturating_mul(1 << retry.saturating_sub(1).min(20)).min(1_000);
        prop_assert!(backoff_ms(retry, random) <= bound_ms);
    }
}

#[gtest]
fn pauses_are_spread() {
    let pauses_ms: Vec<u64> = (0..=20).map(|random| backoff_ms(1, random)).collect();
    expect_that!(pauses_ms, container_eq((0..=20).collect::<Vec<u64>>()));
}
