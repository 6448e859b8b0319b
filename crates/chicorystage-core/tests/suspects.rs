//! Suspect and quarantined request digests under reordered, lost and repeated updates.

use chicorystage_api::name::Digest;
use chicorystage_core::suspects::{DigestStatus, SuspectList};
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

    /// However updates are ordered, lost or repeated between three routers, a digest that
    /// never crashed an endpoint while it ran alone is never quarantined. A router that
    /// quarantined a digest never lifts the quarantine by itself.
    #[test]
    fn only_a_lone_crash_quarantines_and_nothing_but_an_operator_lifts_it(
        steps in prop::collection::vec((0_usize..3, 0_u32..3, 0_usize..3), 1..60),
    ) {
        let digest = Digest::from("d");
        let mut routers = [SuspectList::default(), SuspectList::default(), SuspectList::default()];
        let mut crashed_alone = false;
        for (now_ms, (router, step, receiver)) in (1_000..).zip(steps) {
            let local_status = routers[router].status(&digest);
            let before = routers.each_ref().map(|router| router.status(&digest));
            let update = match step {
                0 => {
                    // A router never runs a digest that it has quarantined.
                    if local_status == DigestStatus::Quarantined {
                        continue;
                    }
                    let alone = local_status == DigestStatus::Suspect;
                    crashed_alone |= alone;
                    Some(routers[router].record_crash(now_ms, &digest, alone))
                }
                1 => {
                    routers[router].record_completion(now_ms, &digest);
                    None
                }
                _ => None,
            };
            if let Some(update) = update {
                routers[receiver].merge(update.clone());
                routers[receiver].merge(update);
            }
            for router in &routers {
                prop_assert!(crashed_alone || router.status(&digest) != DigestStatus::Quarantined);
            }
            for (router, before) in routers.iter().zip(before) {
                let lifted = router.status(&digest) != DigestStatus::Quarantined;
                prop_assert!(before != DigestStatus::Quarantined || !lifted);
            }
        }
    }
}

#[gtest]
fn older_update_changes_nothing() {
    let digest = Digest::from("d");
    let mut list = SuspectList::default();
    let suspect = list.record_crash(100, &digest, false);
    let quarantined = list.record_crash(90, &digest, true);
    expect_that!(list.merge(suspect), is_false());
    expect_that!(list.status(&digest), eq(DigestStatus::Quarantined));
    let lifted = list.lift(50, &digest);
    expect_that!(list.merge(quarantined.clone()), is_false());
    expect_that!(list.status(&digest), eq(DigestStatus::Clear));

    let mut other = SuspectList::default();
    other.merge(lifted);
    expect_that!(other.merge(quarantined), is_false());
    expect_that!(other.status(&digest), eq(DigestStatus::Clear));
}

#[gtest]
fn suspects_are_bounded_and_quarantines_are_kept() {
    let mut list = SuspectList::default();
    list.record_crash(1, &"guilty".into(), true);
    for i in 0..10_050_u64 {
        list.record_crash(2 + i, &Digest::from(format!("d{i}")), false);
    }
    expect_that!(list.status(&"guilty".into()), eq(DigestStatus::Quarantined));
    expect_that!(list.status(&"d0".into()), eq(DigestStatus::Clear));
    expect_that!(list.status(&"d10049".into()), eq(DigestStatus::Suspect));
}

#[gtest]
fn crash_of_an_attempt_that_began_before_the_last_crash_is_no_new_evidence() -> Result<()> {
    let digest = Digest::from("d");
    let mut suspects = SuspectList::default();
    verify_that!(suspects.is_new_evidence(&digest, 900), eq(true))?;
    suspects.record_crash(1_000, &digest, false);
    verify_that!(suspects.is_new_evidence(&digest, 999), eq(false))?;
    verify_that!(suspects.is_new_evidence(&digest, 1_000), eq(true))?;
    suspects.record_completion(1_100, &digest);
    verify_that!(suspects.is_new_evidence(&digest, 999), eq(true))
}

const GATEWAYS: usize = 5;
/// Crashes in a row that quarantine a digest.
const CRASHES: u32 = 3;

proptest! {
    #![proptest_config(config())]

    /// Crashes and answers of one digest at random processes, each told to all others: it is
    /// quarantined everywhere after the third crash in a row, and never before, however many crashes
    /// there are with answers between them at other processes.
    #[test]
    fn only_crashes_without_an_answer_at_any_process_between_them_quarantine(
        steps in prop::collection::vec((0..GATEWAYS, any::<bool>()), 1..40),
    ) {
        let digest = Digest::from("d");
        let mut processes = [(); GATEWAYS].map(|()| SuspectList::default());
        let mut in_a_row = 0;
        for (now_ms, (process, is_crash)) in (1_000..).step_by(10).zip(steps) {
            if is_crash {
                in_a_row += 1;
                let own = &mut processes[process];
                let is_last = own.crashes(&digest) + 1 >= CRASHES;
                let entry = own.record_crash(now_ms, &digest, is_last);
                for other in &mut processes {
                    other.merge(entry.clone());
                }
            } else {
                in_a_row = 0;
                processes[process].record_completion(now_ms, &digest);
                for other in &mut processes {
                    other.merge_completion(now_ms, &digest);
                }
            }
            let is_quarantined = processes
                .each_ref()
                .map(|process| process.status(&digest) == DigestStatus::Quarantined);
            prop_assert_eq!(is_quarantined, [in_a_row >= CRASHES; GATEWAYS]);
            if in_a_row >= CRASHES {
                return Ok(());
            }
        }
    }
}
