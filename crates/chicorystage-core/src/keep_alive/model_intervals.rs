use std::collections::HashMap;

use chicorystage_api::name::ModelName;

use crate::keep_alive::interval_histogram::{BUCKETS, IntervalHistogram, upper_ms};
use crate::keep_alive::{KeepAliveCost, KeepAlivePlan, plan_choice};

/// Number of recorded intervals as which the histogram of all models counts.
const PRIOR_INTERVALS: f32 = 2.0;
/// Probability of use that is assumed for a model without history.
const PROBABILITY_UNKNOWN: f64 = 0.5;

/// Learns from the requests of each model how long its idle replicas should stay loaded.
///
/// Uses about half a kilobyte per model.
#[derive(Clone, Debug)]
pub struct KeepAlive {
    models: HashMap<ModelName, ModelIntervals>,
    all: IntervalHistogram,
}

#[derive(Clone, Debug)]
struct ModelIntervals {
    intervals: IntervalHistogram,
    last_ms: u64,
}

impl KeepAlive {
    /// Creates an empty history.
    #[must_use]
    pub fn new() -> Self {
        Self {
            models: HashMap::new(),
            all: IntervalHistogram::new(),
        }
    }

    /// Records a request for a model.
    pub fn observe(&mut self, model: &ModelName, now_ms: u64) {
        let Some(known) = self.models.get_mut(model) else {
            let first = ModelIntervals {
                intervals: IntervalHistogram::new(),
                last_ms: now_ms,
            };
            self.models.insert(model.clone(), first);
            return;
        };
        let interval_ms = now_ms.saturating_sub(known.last_ms);
        known.intervals.record(interval_ms);
        known.last_ms = now_ms;
        self.all.record(interval_ms);
    }

    /// Returns the time of a model's last request, in milliseconds; `None` without any request.
    #[must_use]
    pub fn last_ms(&self, model: &ModelName) -> Option<u64> {
        self.models.get(model).map(|known| known.last_ms)
    }

    /// Returns the plan of least expected cost for a replica of the model.
    ///
    /// Without any history there is no prewarming, and the replica stays loaded for as long as
    /// its idle time costs less than a cold start.
    #[must_use]
    pub fn plan(&self, model: &ModelName, cost: &KeepAliveCost) -> KeepAlivePlan {
        match self.shares(model) {
            Some(shares) => plan_choice::choose(&shares, cost),
            None => KeepAlivePlan {
                keep_alive_ms: default_keep_alive_ms(cost),
                prewarm: None,
            },
        }
    }

    /// Returns the probability, from 0 to 1, that a model is used within `within_ms` from now.
    ///
    /// The probability is conditional on the time since the model's last request. It is 0.5
    /// without history.
    #[must_use]
    pub fn probability_of_use(&self, model: &ModelName, now_ms: u64, within_ms: u64) -> f64 {
        let (Some(shares), Some(last_ms)) = (self.shares(model), self.last_ms(model)) else {
            return PROBABILITY_UNKNOWN;
        };
        let idle_ms = now_ms.saturating_sub(last_ms);
        let beyond = |ms: u64| share_beyond(&shares, ms);
        let still_possible = beyond(idle_ms);
        if still_possible <= 0.0 {
            return 0.0;
        }
        1.0 - beyond(idle_ms.saturating_add(within_ms)) / still_possible
    }

    fn shares(&self, model: &ModelName) -> Option<Vec<f64>> {
        let known = self.models.get(model)?;
        if known.intervals.total() + self.all.total() <= 0.0 {
            return None;
        }
        Some(known.intervals.shares(&self.all, PRIOR_INTERVALS))
    }
}

impl Default for KeepAlive {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the keep-alive for a model without history, in milliseconds.
///
/// Staying idle until the idle time costs as much as a cold start is at most twice as costly as
/// the best choice in hindsight.
fn default_keep_alive_ms(cost: &KeepAliveCost) -> u64 {
    let break_even_ms = cost.cold_start_in_idle_ms();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is positive and the cast saturates"
    )]
    let keep_alive_ms = break_even_ms as u64;
    let max_ms = cost.keep_alive_max_ms.max(cost.keep_alive_min_ms);
    keep_alive_ms.clamp(cost.keep_alive_min_ms, max_ms)
}

fn share_beyond(shares: &[f64], ms: u64) -> f64 {
    #[expect(
        clippy::cast_precision_loss,
        reason = "times are far below the exact range"
    )]
    let ms = ms as f64;
    let later = (0..BUCKETS).filter(|&i| upper_ms(i) > ms);
    later.map(|i| shares[i]).sum()
}
