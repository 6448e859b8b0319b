//! Single schedules, each of one rule of the budget.

use chicorystage_api::name::ServiceName;
use chicorystage_core::retry::{Predecessor, RetryBudgetSettings, ServiceRetryBudgets};
use chicorystage_core::store_era::StoreEra;
use googletest::prelude::*;

use crate::world::{RATIO, WINDOW_MS, breach, new_budget, one_of, take_and_settle};

// Each of three routers takes all the retries that it may, twice within a window.
#[test]
fn bursts_less_than_a_window_apart_stay_under_the_bound() {
    const ROUTERS: usize = 3;
    let mut budgets = vec![new_budget(0); ROUTERS];
    let (mut first_attempts, mut retries) = (Vec::new(), Vec::new());
    for now_ms in [20_499, 30_000] {
        for budget in &mut budgets {
            for _ in 0..10 {
                budget.record_first_attempt(now_ms);
                first_attempts.push(now_ms);
                for _ in 0..3 {
                    if take_and_settle(budget, now_ms, one_of(ROUTERS)) {
                        retries.push(now_ms);
                    }
                }
            }
        }
    }
    assert_that!(breach(&first_attempts, &retries), none());
}

// First attempts in two groups that are just less than a window apart count for one retry window,
// but for different windows of the bound.
#[test]
fn groups_of_requests_a_window_apart_stay_under_the_bound() {
    const GROUP: u32 = 5_000;
    let mut budget = new_budget(0);
    let (mut first_attempts, mut retries) = (Vec::new(), Vec::new());
    for now_ms in [25_000, 34_990] {
        for _ in 0..GROUP {
            budget.record_first_attempt(now_ms);
            first_attempts.push(now_ms);
        }
    }
    while take_and_settle(&mut budget, 34_995, one_of(1)) {
        retries.push(34_995);
    }
    assert_that!(breach(&first_attempts, &retries), none());
}

#[test]
fn single_router_may_retry_at_once() {
    let mut budget = new_budget(0);
    let now_ms = 2 * WINDOW_MS;
    budget.record_first_attempt(now_ms);
    assert_that!(budget.try_take(now_ms, Some(one_of(1))), eq(true));
}

#[test]
fn many_routers_have_no_retry_budget_before_the_first_request() {
    let mut budget = new_budget(0);
    assert_that!(budget.try_take(2 * WINDOW_MS, Some(one_of(60))), eq(false));
}

// A router that takes itself for the only one would spend the allowance of all.
#[test]
fn router_that_does_not_know_the_others_has_no_part_of_the_allowance() {
    let mut budget = new_budget(0);
    assert_that!(budget.try_take(2 * WINDOW_MS, None), eq(false));
}

#[test]
fn services_do_not_draw_on_the_requests_to_each_other() {
    let settings = RetryBudgetSettings {
        ratio: RATIO,
        allowance: 0.0,
        window_ms: WINDOW_MS,
    };
    let mut budgets = ServiceRetryBudgets::new(settings, 0);
    let (busy, failing) = (ServiceName::from("busy"), ServiceName::from("failing"));
    for _ in 0..1_000 {
        budgets.record_first_attempt(1_000, &busy);
    }
    assert_that!(
        budgets.try_take(1_000, &failing, Some(one_of(1))),
        eq(false)
    );
    assert_that!(budgets.try_take(1_000, &busy, Some(one_of(1))), eq(true));
}

#[test]
fn predecessor_from_before_a_reboot_counts_as_recent() {
    let era = StoreEra::default();
    let of = |previous_ms| Predecessor::of(previous_ms, 50_000, WINDOW_MS, &era);
    assert_that!(of(Some(90_000)), eq(Predecessor::Recent));
    assert_that!(of(Some(40_001)), eq(Predecessor::Recent));
    assert_that!(of(Some(40_000)), eq(Predecessor::Settled));
    assert_that!(of(None), eq(Predecessor::Absent));
}

// The row of the last process is missing from the copy, which may show none or one before it.
#[test]
fn predecessor_counts_as_recent_where_the_store_has_returned_lately() {
    let mut era = StoreEra::default();
    era.observe(1, 45_000);
    let of = |started_ms| {
        [None, Some(10_000)]
            .map(|previous_ms| Predecessor::of(previous_ms, started_ms, WINDOW_MS, &era))
    };
    assert_that!(of(50_000), eq([Predecessor::Recent; 2]));
    assert_that!(
        of(45_000 + WINDOW_MS),
        eq([Predecessor::Absent, Predecessor::Settled])
    );
}
