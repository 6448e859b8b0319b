//! Admission to a router's wait queue: bounds, priority by class and weighted shares of tenants.

use chicorystage_api::inventory::Class;
use chicorystage_api::name::CallerName;
use chicorystage_core::admission::{DeadlineCheck, Shed, WaitQueue, check_deadline};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::with_cases(400)
    }
}

proptest! {
    #![proptest_config(config())]

    /// Under any sequence of entries and exits the count stays bounded and correct.
    #[test]
    fn queue_is_bounded_and_empties_completely(
        waiting_max in 1_u32..40,
        steps in prop::collection::vec((0_usize..3, 0_usize..4, any::<bool>()), 1..200),
    ) {
        let mut queue = WaitQueue::new(waiting_max, 1_000);
        let mut entered: Vec<CallerName> = Vec::new();
        for (class, tenant, leave) in steps {
            if leave && !entered.is_empty() {
                queue.leave(&entered.swap_remove(0));
            }
            let tenant = CallerName::from(format!("tenant-{tenant}"));
            if queue.enter(Class::ALL[class], &tenant, 1).is_ok() {
                entered.push(tenant);
            }
            prop_assert!(queue.waiting() <= waiting_max);
            prop_assert_eq!(queue.waiting() as usize, entered.len());
        }
        for tenant in entered {
            queue.leave(&tenant);
        }
        prop_assert_eq!(queue.waiting(), 0);
    }
}

#[gtest]
fn lowest_class_is_shed_first() {
    let mut queue = WaitQueue::new(100, 0);
    let mut admitted = [0; 3];
    for _ in 0..200 {
        for (class, count) in Class::ALL.into_iter().zip(&mut admitted).rev() {
            *count += u32::from(queue.enter(class, &"one".into(), 1).is_ok());
        }
    }
    let refused = |class| queue.clone().enter(class, &"two".into(), 1);
    expect_that!(refused(Class::Batch), err(eq(Shed::ClassFull)));
    expect_that!(admitted[2], le(admitted[1]));
    let mut queue = WaitQueue::new(100, 0);
    while queue.enter(Class::Batch, &"one".into(), 1).is_ok() {}
    expect_that!(
        queue.enter(Class::Interactive, &"two".into(), 1),
        ok(anything())
    );
}

#[gtest]
fn tenant_in_a_crowded_queue_is_limited_to_its_weighted_share() {
    let mut queue = WaitQueue::new(100, 0);
    expect_that!(
        queue.enter(Class::Interactive, &"small".into(), 1),
        ok(anything())
    );
    while queue.enter(Class::Interactive, &"large".into(), 3).is_ok() {}
    expect_that!(queue.waiting_of(&"large".into()), eq(75));
    let mut served = 1;
    while queue.enter(Class::Interactive, &"small".into(), 1).is_ok() {
        served += 1;
    }
    expect_that!(served, eq(25));
}

#[gtest]
fn body_bytes_are_bounded_and_a_refused_body_takes_none() {
    let mut queue = WaitQueue::new(1, 100);
    expect_that!(queue.reserve_bytes(60), ok(anything()));
    expect_that!(queue.reserve_bytes(41), err(eq(Shed::BytesFull)));
    expect_that!(queue.reserve_bytes(u64::MAX), err(eq(Shed::BytesFull)));
    expect_that!(queue.bytes(), eq(60));
    queue.release_bytes(60);
    expect_that!(queue.reserve_bytes(100), ok(anything()));
}

#[gtest]
fn wait_of_all_the_remaining_time_is_too_long() {
    expect_that!(check_deadline(99, 100), eq(DeadlineCheck::InTime));
    let late = |retry_after_ms| eq(DeadlineCheck::TooLate { retry_after_ms });
    expect_that!(check_deadline(100, 100), late(1));
    expect_that!(check_deadline(400, 100), late(300));
}
