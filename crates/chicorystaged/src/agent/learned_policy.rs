//! Keep-alive, prewarming and eviction learned from each model's request arrivals.
//!
//! For each model, a plan weighs the cost of idle memory against the cost of a
//! cold start, given the history of intervals between requests. Eviction order
//! depends on memory, load time and the chance of use in the near future.

use std::collections::HashMap;

use chicorystage_api::name::ModelName;
use chicorystage_core::evict::{Resident, evict_order};
use chicorystage_core::keep_alive::{KeepAlive, KeepAliveCost, KeepAlivePlan};
use chicorystage_core::replicas::{IdleReplica, ReplicaKey};

use crate::agent::policy::{KeepAliveSettings, ReplicaPolicy};

/// Assumed load time of a replica that this agent has not loaded yet, in milliseconds.
const RELOAD_DEFAULT_MS: u64 = 5_000;
/// Time horizon over which eviction estimates the chance of use, in milliseconds.
const USE_HORIZON_MS: u64 = 60_000;
/// Inverse of the newest load time's weight in the exponentially weighted average.
const SMOOTHING_DIVISOR: u64 = 4;
/// Lead of a prewarming load before its window, as a multiple of the load time.
const PREWARM_LEAD_FACTOR: u64 = 2;
/// Whole of the accelerator's memory, where a replica's share is given in thousandths.
const PERMILLE: u64 = 1_000;

/// Learns from arrivals and load times how long to keep replicas.
#[derive(Debug, Default)]
pub struct LearnedPolicy {
    keep_alive: KeepAlive,
    reload_ms: HashMap<ReplicaKey, u64>,
    /// Cached plan of each model, with the inputs that it was computed from.
    plans: HashMap<ModelName, (PlanInputs, KeepAlivePlan)>,
}

/// Inputs of a cached plan: time of the model's last request, and costs and limits to weigh.
///
/// Requests for other models change a plan slightly as well. They do not
/// invalidate the cache; the model's own next request does.
type PlanInputs = (Option<u64>, KeepAliveCost);

impl LearnedPolicy {
    /// Creates a policy without history.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how long before its window a prewarming load begins, in milliseconds.
    fn prewarm_lead_ms(&self, key: &ReplicaKey) -> u64 {
        self.reload_ms(key) * PREWARM_LEAD_FACTOR
    }

    fn reload_ms(&self, key: &ReplicaKey) -> u64 {
        let known = self.reload_ms.get(key).copied();
        known.unwrap_or(RELOAD_DEFAULT_MS)
    }

    /// Returns the keep-alive plan of a model, from the cache if its inputs are unchanged.
    fn plan(
        &mut self,
        key: &ReplicaKey,
        memory_bytes: u64,
        settings: &KeepAliveSettings,
    ) -> KeepAlivePlan {
        let total_bytes = settings.memory_total_bytes.max(1);
        let permille = memory_bytes.saturating_mul(PERMILLE) / total_bytes;
        let cost = KeepAliveCost {
            reload_ms: self.reload_ms(key),
            memory_permille: u32::try_from(permille).unwrap_or(u32::MAX),
            cold_start_weight_percent: settings.cold_start_weight_percent,
            keep_alive_min_ms: settings.keep_alive_min_ms,
            keep_alive_max_ms: settings.keep_alive_max_ms,
        };
        let inputs = (self.keep_alive.last_ms(&key.model), cost);
        if let Some((known, plan)) = self.plans.get(&key.model)
            && *known == inputs
        {
            return *plan;
        }
        let plan = self.keep_alive.plan(&key.model, &cost);
        self.plans.insert(key.model.clone(), (inputs, plan));
        plan
    }

    /// Returns the time since a model's last request, in milliseconds; `None` before the first.
    fn since_last_request_ms(&self, key: &ReplicaKey, now_ms: u64) -> Option<u64> {
        let last_ms = self.keep_alive.last_ms(&key.model)?;
        Some(now_ms.saturating_sub(last_ms))
    }

    fn resident(&self, replica: &IdleReplica, now_ms: u64) -> Resident {
        let model = &replica.key.model;
        Resident {
            model: model.clone(),
            memory_bytes: replica.memory_bytes,
            reload_ms: self.reload_ms(&replica.key),
            probability_of_use: self
                .keep_alive
                .probability_of_use(model, now_ms, USE_HORIZON_MS),
            has_work: false,
        }
    }
}

impl ReplicaPolicy for LearnedPolicy {
    fn record_arrival(&mut self, key: &ReplicaKey, now_ms: u64) {
        self.keep_alive.observe(&key.model, now_ms);
    }

    fn record_load(&mut self, key: &ReplicaKey, took_ms: u64) {
        let smoothed = self.reload_ms.entry(key.clone()).or_insert(took_ms);
        *smoothed = (*smoothed * (SMOOTHING_DIVISOR - 1) + took_ms) / SMOOTHING_DIVISOR;
    }

    fn may_unload(
        &mut self,
        replica: &IdleReplica,
        settings: &KeepAliveSettings,
        now_ms: u64,
    ) -> bool {
        let plan = self.plan(&replica.key, replica.memory_bytes, settings);
        let since_ms = self.since_last_request_ms(&replica.key, now_ms);
        let is_due_soon = plan
            .prewarm
            .zip(since_ms)
            .is_some_and(|(window, since_ms)| {
                let begin_ms = window
                    .from_ms
                    .saturating_sub(self.prewarm_lead_ms(&replica.key));
                (begin_ms..window.until_ms).contains(&since_ms)
            });
        replica.idle_ms >= plan.keep_alive_ms && !is_due_soon
    }

    fn prewarm_time_left_ms(
        &mut self,
        key: &ReplicaKey,
        memory_bytes: u64,
        settings: &KeepAliveSettings,
        now_ms: u64,
    ) -> Option<u64> {
        let since_ms = self.since_last_request_ms(key, now_ms)?;
        let window = self.plan(key, memory_bytes, settings).prewarm?;
        let begin_ms = window.from_ms.saturating_sub(self.prewarm_lead_ms(key));
        (begin_ms..window.until_ms)
            .contains(&since_ms)
            .then(|| window.until_ms - since_ms)
    }

    fn sort_for_eviction(&self, idle: &mut [IdleReplica], now_ms: u64) {
        let residents: Vec<Resident> = idle
            .iter()
            .map(|replica| self.resident(replica, now_ms))
            .collect();
        let order = evict_order(&residents);
        idle.sort_by_key(|replica| {
            let model = &replica.key.model;
            order.iter().position(|resident| resident.model == *model)
        });
    }
}
