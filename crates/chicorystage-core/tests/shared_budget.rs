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

/// Takes a retry that arrives at once; returns whether one was left.
fn take_and_settle(budget: &mut SharedRetryBudget, now_ms: u64, share: BudgetShare) -> bool {
    let is_taken = budget.try_take(now_ms, Some(share));
    if is_taken {
        budget.settle(now_ms);
    }
    is_taken
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

/// Routers whose retries arrive some time after they were taken.
#[derive(Debug)]
struct LateRetries {
    processes: Vec<Process>,
    now_ms: u64,
    /// Retries that have not arrived yet: time of arrival and router.
    in_flight: Vec<(u64, usize)>,
    first_attempts: Vec<u64>,
    arrivals: Vec<u64>,
}

impl LateRetries {
    fn new(routers: usize) -> Self {
        Self {
            processes: vec![Process::first(); routers],
            now_ms: 3 * WINDOW_MS,
            in_flight: Vec::new(),
            first_attempts: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    /// Lets time pass and settles the retries that have arrived.
    fn pass(&mut self, time_ms: u64) {
        self.now_ms += time_ms;
        self.in_flight.sort_unstable();
        let now_ms = self.now_ms;
        let arrived = self
            .in_flight
            .partition_point(|(at_ms, _)| *at_ms <= now_ms);
        for (at_ms, router) in self.in_flight.drain(..arrived) {
            self.processes[router].budget.settle(at_ms);
            self.arrivals.push(at_ms);
        }
    }

    /// Starts a router anew; its retries have arrived or never will.
    fn restart(&mut self, router: usize) {
        self.in_flight.retain(|(_, of_router)| *of_router != router);
        self.processes[router].restart(self.now_ms);
    }

    /// Sends requests by a router, and then all retries that its budget allows if it knows `known`
    /// routers; they arrive `delay_ms` later.
    fn send(&mut self, router: usize, requests: u32, known: usize, delay_ms: u64) {
        let process = &mut self.processes[router];
        for _ in 0..requests {
            process.budget.record_first_attempt(self.now_ms);
            self.first_attempts.push(self.now_ms);
        }
        let share = BudgetShare {
            routers: known,
            predecessor: process.predecessor,
        };
        while process.budget.try_take(self.now_ms, Some(share)) {
            self.in_flight.push((self.now_ms + delay_ms, router));
        }
    }

    /// Lets all retries arrive and returns the first window over the bound; see [`breach`].
    fn breach(mut self) -> Option<u64> {
        let late = self.in_flight.iter().map(|(at_ms, _)| *at_ms);
        self.arrivals.extend(late);
        breach(&self.first_attempts, &self.arrivals)
    }
}

/// Counts the sorted times within the window that begins at `begin_ms`, or earlier.
fn count_in_window(times: &[u64], begin_ms: u64, earlier_ms: u64) -> f64 {
    let before = |limit_ms: u64| times.partition_point(|time_ms| *time_ms < limit_ms);
    let end_ms = (begin_ms + WINDOW_MS).saturating_sub(earlier_ms);
    let count = before(end_ms) - before(begin_ms.saturating_sub(earlier_ms));
    f64::from(u32::try_from(count).expect("a small number"))
}

/// Returns the begin of the first window in which more retries arrive than the bound allows.
///
/// The bound counts the first attempts of the window, of the one before it or of the one half a
/// window before it, whichever has most. The windows looked at are those at whose begin or end an
/// arrival or a counted first attempt enters or leaves, so all cases occur.
fn breach(first_attempts: &[u64], arrivals: &[u64]) -> Option<u64> {
    let mut arrivals = arrivals.to_vec();
    arrivals.sort_unstable();
    let edges = |at_ms: u64| [(at_ms + 1).saturating_sub(WINDOW_MS), at_ms];
    let of_arrivals = arrivals.iter().flat_map(|at_ms| edges(*at_ms));
    let of_first_attempts = first_attempts.iter().flat_map(|at_ms| {
        [0, WINDOW_MS / 2, WINDOW_MS].map(|earlier_ms| {
            let at_ms = at_ms + earlier_ms;
            [at_ms.saturating_sub(WINDOW_MS), at_ms + 1]
        })
    });
    let mut begins = of_arrivals.chain(of_first_attempts.flatten());
    begins.find(|begin_ms| {
        let arrived = count_in_window(&arrivals, *begin_ms, 0);
        if arrived <= ALLOWANCE {
            return false;
        }
        let most = [0, WINDOW_MS / 2, WINDOW_MS]
            .map(|earlier_ms| count_in_window(first_attempts, *begin_ms, earlier_ms))
            .into_iter()
            .fold(0.0, f64::max);
        arrived > RATIO * most + ALLOWANCE
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

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(26),
        failure_persistence: None,
        ..ProptestConfig::with_cases(400)
    })]

    // Retries arrive up to a third of a window after they were taken, and are settled only then.
    #[test]
    fn retries_that_arrive_late_stay_under_the_bound(
        routers in 1_usize..8,
        steps in prop::collection::vec(
            (0_u64..2_000, 0_usize..8, prop_oneof![0_u32..20, 0_u32..200], 0_u64..WINDOW_MS / 3),
            1..60,
        ),
    ) {
        let mut world = LateRetries::new(routers);
        for (pause_ms, router, requests, delay_ms) in steps {
            world.pass(pause_ms);
            world.send(router % routers, requests, routers, delay_ms);
        }
        prop_assert_eq!(world.breach(), None);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(30),
        failure_persistence: None,
        ..ProptestConfig::with_cases(600)
    })]

    // Many requests come at once; their retries are taken until they no longer count, and arrive up
    // to half a window later.
    #[test]
    fn late_retries_after_random_bursts_stay_under_the_bound(
        routers in 1_usize..5,
        steps in prop::collection::vec(
            (0_u64..WINDOW_MS, 0_usize..5, prop_oneof![3 => Just(0_u32), 1 => 0_u32..1_500],
                0_u64..=WINDOW_MS / 2),
            1..30,
        ),
    ) {
        let mut world = LateRetries::new(routers);
        for (pause_ms, router, requests, delay_ms) in steps {
            world.pass(pause_ms);
            world.send(router % routers, requests, routers, delay_ms);
        }
        prop_assert_eq!(world.breach(), None);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::with_cases(300)
    })]

    // Up to two fifths more routers join unknown to the others, and routers start anew. Retries
    // arrive up to half a window late; those of a process that ends have arrived or never will.
    #[test]
    fn late_retries_of_routers_that_join_or_start_anew_stay_under_the_bound(
        routers in 3_usize..12,
        joining_tenths in 0_usize..=4,
        steps in prop::collection::vec(
            (0_u64..WINDOW_MS, any::<usize>(), prop_oneof![3 => Just(0_u32), 1 => 0_u32..1_500],
                0_u64..=WINDOW_MS / 2, prop::bool::weighted(0.1)),
            1..40,
        ),
    ) {
        let all = routers + routers * joining_tenths / 10;
        let mut world = LateRetries::new(all);
        for (pause_ms, router, requests, delay_ms, is_restarted) in steps {
            let router = router % all;
            world.pass(pause_ms);
            if is_restarted {
                world.restart(router);
            }
            let known = if router < routers { routers } else { all };
            world.send(router, requests, known, delay_ms);
        }
        prop_assert_eq!(world.breach(), None);
    }
}

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

// Retries that arrive late may fall into windows that no longer count the requests allowing them.
#[test]
fn late_retries_after_a_burst_of_requests_stay_under_the_bound() {
    const REQUESTS_MS: u64 = 30_000;
    const RETRIES_MS: u64 = REQUESTS_MS + WINDOW_MS - 1_000;
    const ARRIVALS_MS: u64 = RETRIES_MS + 3_000;
    let mut budget = new_budget(0);
    let first_attempts = vec![REQUESTS_MS; 2_000];
    for at_ms in &first_attempts {
        budget.record_first_attempt(*at_ms);
    }
    let mut arrivals = Vec::new();
    while budget.try_take(RETRIES_MS, Some(one_of(1))) {
        arrivals.push(ARRIVALS_MS);
    }
    assert_that!(breach(&first_attempts, &arrivals), none());
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
    let of = |previous_ms| Predecessor::of(previous_ms, 50_000, WINDOW_MS);
    assert_that!(of(Some(90_000)), eq(Predecessor::Recent));
    assert_that!(of(Some(40_001)), eq(Predecessor::Recent));
    assert_that!(of(Some(40_000)), eq(Predecessor::Settled));
    assert_that!(of(None), eq(Predecessor::Absent));
}
