//! Routers that share one retry budget together stay within its bound in every window.

use chicorystage_api::name::ServiceName;
use chicorystage_core::retry::{
    BudgetShare, Predecessor, RetryBudgetSettings, ServiceRetryBudgets, SharedRetryBudget,
};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RATIO: f64 = 0.2;
const ALLOWANCE: f64 = 54.0;
const WINDOW_MS: u64 = 10_000;

/// Returns the budget of a router that starts at `started_ms`.
fn new_budget(started_ms: u64) -> SharedRetryBudget {
    let settings = RetryBudgetSettings {
        ratio: RATIO,
        allowance: ALLOWANCE,
        window_ms: WINDOW_MS,
    };
    SharedRetryBudget::new(settings, started_ms)
}

/// Returns the share of one of several routers without predecessors.
fn one_of(routers: usize) -> BudgetShare {
    BudgetShare {
        routers,
        predecessor: Predecessor::Absent,
    }
}

/// A process of a router, of which each VM runs one at a time.
#[derive(Clone, Debug)]
struct Process {
    budget: SharedRetryBudget,
    started_ms: u64,
    predecessor: Predecessor,
}

impl Process {
    fn first() -> Self {
        Self {
            budget: new_budget(0),
            started_ms: 0,
            predecessor: Predecessor::Absent,
        }
    }

    fn restart(&mut self, now_ms: u64) {
        *self = Self {
            budget: new_budget(now_ms),
            started_ms: now_ms,
            predecessor: Predecessor::of(Some(self.started_ms), now_ms, WINDOW_MS),
        };
    }
}

/// Counts the times within a window that ends at `end_ms`.
fn count_in_window(times: &[u64], end_ms: u64) -> f64 {
    let window = end_ms.saturating_sub(WINDOW_MS)..end_ms;
    let count = times.iter().filter(|time_ms| window.contains(time_ms));
    f64::from(u32::try_from(count.count()).expect("a small number"))
}

/// Returns the end of the first window in which there are more retries than the bound allows.
///
/// The bound counts the first attempts of the window or of the previous one, whichever has more.
fn breach(first_attempts: &[u64], retries: &[u64]) -> Option<u64> {
    let last_ms = retries.last().copied().unwrap_or(0);
    let ends = (WINDOW_MS..=last_ms + WINDOW_MS).step_by(250);
    ends.into_iter().find(|end_ms| {
        let counted = [0, WINDOW_MS / 2, WINDOW_MS]
            .map(|earlier_ms| count_in_window(first_attempts, end_ms.saturating_sub(earlier_ms)));
        let most = counted.into_iter().fold(0.0, f64::max);
        count_in_window(retries, *end_ms) > RATIO * most + ALLOWANCE
    })
}

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
            while budget.try_take(now_ms, Some(one_of(routers))) {
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
            while process.budget.try_take(now_ms, Some(share)) {
                retries.push(now_ms);
            }
        }
        prop_assert_eq!(breach(&first_attempts, &retries), None);
    }
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
    while budget.try_take(34_995, Some(one_of(1))) {
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
    let of = |previous_ms| Predecessor::of(previous_ms, 50_000, WINDOW_MS);
    assert_that!(of(Some(90_000)), eq(Predecessor::Recent));
    assert_that!(of(Some(40_001)), eq(Predecessor::Recent));
    assert_that!(of(Some(40_000)), eq(Predecessor::Settled));
    assert_that!(of(None), eq(Predecessor::Absent));
}
