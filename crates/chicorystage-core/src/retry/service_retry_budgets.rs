use std::collections::HashMap;

use chicorystage_api::name::ServiceName;

use crate::retry::{BudgetShare, BudgetUsage, RetryBudgetSettings, SharedRetryBudget};

/// One router's retry budgets, one for each service.
///
/// The bound holds for each service by itself, so the requests to one service allow no retries at
/// another.
#[derive(Clone, Debug)]
pub struct ServiceRetryBudgets {
    settings: RetryBudgetSettings,
    started_ms: u64,
    by_service: HashMap<ServiceName, SharedRetryBudget>,
}

impl ServiceRetryBudgets {
    /// Creates the budgets of a router that starts at `started_ms`.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings, started_ms: u64) -> Self {
        Self {
            settings,
            started_ms,
            by_service: HashMap::new(),
        }
    }

    /// Records a first attempt at a service.
    pub fn record_first_attempt(&mut self, now_ms: u64, service: &ServiceName) {
        self.budget(service).record_first_attempt(now_ms);
    }

    /// Takes one retry from a service's budget; returns false, and takes nothing, if none is left.
    ///
    /// `share` is as in [`SharedRetryBudget::try_take`].
    pub fn try_take(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        share: Option<BudgetShare>,
    ) -> bool {
        self.budget(service).try_take(now_ms, share)
    }

    /// Records that a retry at a service has arrived or will never arrive; see
    /// [`SharedRetryBudget::settle`].
    pub fn settle(&mut self, now_ms: u64, service: &ServiceName) {
        self.budget(service).settle(now_ms);
    }

    /// Returns what is counted and allowed for a service; see [`SharedRetryBudget::usage`].
    pub fn usage(
        &mut self,
        now_ms: u64,
        service: &ServiceName,
        share: Option<BudgetShare>,
    ) -> BudgetUsage {
        self.budget(service).usage(now_ms, share)
    }

    fn budget(&mut self, service: &ServiceName) -> &mut SharedRetryBudget {
        self.by_service
            .entry(service.clone())
            .or_insert_with(|| SharedRetryBudget::new(self.settings, self.started_ms))
    }
}
