//! Processes of routers that share a budget, and the bound on their retries.

use chicorystage_core::retry::{BudgetShare, Predecessor, RetryBudgetSettings, SharedRetryBudget};
use chicorystage_core::store_era::StoreEra;

pub const RATIO: f64 = 0.2;
pub const ALLOWANCE: f64 = 54.0;
pub const WINDOW_MS: u64 = 10_000;

/// Returns the budget of a router that starts at `started_ms`.
pub fn new_budget(started_ms: u64) -> SharedRetryBudget {
    let settings = RetryBudgetSettings {
        ratio: RATIO,
        allowance: ALLOWANCE,
        window_ms: WINDOW_MS,
    };
    SharedRetryBudget::new(settings, started_ms)
}

/// Returns the share of one of several routers without predecessors.
pub fn one_of(routers: usize) -> BudgetShare {
    BudgetShare {
        routers,
        predecessor: Predecessor::Absent,
    }
}

/// Takes a retry that arrives at once; returns whether one was left.
pub fn take_and_settle(budget: &mut SharedRetryBudget, now_ms: u64, share: BudgetShare) -> bool {
    let is_taken = budget.try_take(now_ms, Some(share));
    if is_taken {
        budget.settle(now_ms);
    }
    is_taken
}

/// A process of a router, of which each VM runs one at a time.
#[derive(Clone, Debug)]
pub struct Process {
    pub budget: SharedRetryBudget,
    pub started_ms: u64,
    pub predecessor: Predecessor,
}

impl Process {
    pub fn first() -> Self {
        Self {
            budget: new_budget(0),
            started_ms: 0,
            predecessor: Predecessor::Absent,
        }
    }

    pub fn restart(&mut self, now_ms: u64) {
        *self = Self {
            budget: new_budget(now_ms),
            started_ms: now_ms,
            predecessor: Predecessor::of(
                Some(self.started_ms),
                now_ms,
                WINDOW_MS,
                &StoreEra::default(),
            ),
        };
    }
}

/// Counts the sorted times within the window that begins at `begin_ms`, or earlier.
pub fn count_in_window(times: &[u64], begin_ms: u64, earlier_ms: u64) -> f64 {
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
pub fn breach(first_attempts: &[u64], arrivals: &[u64]) -> Option<u64> {
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
