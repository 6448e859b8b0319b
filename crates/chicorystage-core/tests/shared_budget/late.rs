//! Retries that arrive some time after they were taken.

use chicorystage_core::retry::BudgetShare;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::world::{Process, WINDOW_MS, breach, new_budget, one_of};

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
