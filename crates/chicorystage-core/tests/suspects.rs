//! Digests that crash endpoints, under any order of news.

use chicorystage_api::name::Digest;
use chicorystage_core::suspects::{Standing, SuspectList};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(14),
        failure_persistence: None,
        ..ProptestConfig::with_cases(500)
    }
}

proptest! {
    #![proptest_config(config())]

    /// However news are ordered, lost or repeated between three routers, a
    /// digest that never died alone is never quarantined, and one that did is
    /// quarantined wherever the news arrived last.
    #[test]
    fn only_a_lone_crash_quarantines_and_nothing_but_an_operator_lifts_it(
        steps in prop::collection::vec((0_usize..3, 0_u32..3, 0_usize..3), 1..60),
    ) {
        let digest = Digest::from("d");
        let mut routers = [SuspectList::default(), SuspectList::default(), SuspectList::default()];
        let mut guilty = false;
        for (now_ms, (router, step, told)) in (1_000..).zip(steps) {
            let standing = routers[router].standing(&digest);
            let before = routers.each_ref().map(|router| router.standing(&digest));
            let news = match step {
                0 => {
                    // A router runs nothing that it knows as quarantined.
                    if standing == Standing::Quarantined {
                        continue;
                    }
                    let alone = standing == Standing::Suspect;
                    guilty |= alone;
                    Some(routers[router].crashed(now_ms, &digest, alone))
                }
                1 => {
                    routers[router].completed(now_ms, &digest);
                    None
                }
                _ => None,
            };
            if let Some(news) = news {
                routers[told].learn(news.clone());
                routers[told].learn(news);
            }
            for router in &routers {
                prop_assert!(guilty || router.standing(&digest) != Standing::Quarantined);
            }
            for (router, before) in routers.iter().zip(before) {
                let lifted = router.standing(&digest) != Standing::Quarantined;
                prop_assert!(before != Standing::Quarantined || !lifted);
            }
        }
    }
}

#[gtest]
fn older_news_change_nothing() {
    let digest = Digest::from("d");
    let mut list = SuspectList::default();
    let suspect = list.crashed(100, &digest, false);
    let quarantined = list.crashed(90, &digest, true);
    expect_that!(list.learn(suspect), is_false());
    expect_that!(list.standing(&digest), eq(Standing::Quarantined));
    let lifted = list.lift(50, &digest);
    expect_that!(list.learn(quarantined.clone()), is_false());
    expect_that!(list.standing(&digest), eq(Standing::Clear));

    let mut other = SuspectList::default();
    other.learn(lifted);
    expect_that!(other.learn(quarantined), is_false());
    expect_that!(other.standing(&digest), eq(Standing::Clear));
}

#[gtest]
fn suspects_are_bounded_and_quarantines_are_kept() {
    let mut list = SuspectList::default();
    list.crashed(1, &"guilty".into(), true);
    for i in 0..10_050_u64 {
        list.crashed(2 + i, &Digest::from(format!("d{i}")), false);
    }
    expect_that!(list.standing(&"guilty".into()), eq(Standing::Quarantined));
    expect_that!(list.standing(&"d0".into()), eq(Standing::Clear));
    expect_that!(list.standing(&"d10049".into()), eq(Standing::Suspect));
}
