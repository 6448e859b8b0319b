//! What a place in an engine's memory is worth to a model.

use crate::deployment::ModelSpec;
use crate::orders::DemandBook;

/// Objective below which a caller is gone before a load from disk is done, in milliseconds.
const URGENT_OBJECTIVE_MS: u64 = 1_000;
/// Worth of an urgent request relative to one that can wait for a load from disk.
const URGENT_FACTOR: f64 = 3.0;
/// Worth of a model that nobody has asked for.
const UNASKED_WORTH: f64 = 0.02;
/// Worth of a model with adapters that nobody has asked for; adapters are made for callers.
const UNASKED_ADAPTERS_WORTH: f64 = 0.06;
/// Worth of a first request that waits, above all that does not.
const WAITING_WORTH: f64 = 10.0;
/// Requests in progress at one replica up to which pauses between tokens stay short.
const EASY_LOAD: f64 = 12.0;
/// Requests in progress beyond that by which a replica is crowded.
const CROWDED_LOAD: f64 = 16.0;
/// Share of answers that a crowded replica makes late; it grows on with the crowd, so that a
/// further replica is worth something however large the crowd is.
const CROWDED_LATE: f64 = 0.15;
/// Request rate above which an urgent model has a second replica, a second.
const SPARE_RATE_PER_S: f64 = 2.0;
/// Worth of the second replica of an urgent model for each request a second.
const SPARE_WORTH: f64 = 0.25;
/// Worth of a replica beyond the second that nobody has asked for.
const UNASKED_SPARE_WORTH: f64 = 0.05;
/// Worth of a second replica before the first request, when placement shows what is busy.
const UNASKED_SECOND_WORTH: f64 = 0.5;

/// State of one model over all engines.
#[derive(Clone, Debug)]
pub(super) struct ModelState {
    pub replicas: u32,
    pub rate_per_s: f64,
    pub is_asked: bool,
    pub is_urgent: bool,
    pub waiting: u32,
    pub in_progress: u32,
    pub has_adapters: bool,
}

impl ModelState {
    pub(super) fn new(now_ms: u64, model: &ModelSpec, demand: &DemandBook) -> Self {
        let asked = demand.model(&model.name);
        Self {
            replicas: 0,
            rate_per_s: asked.rate_per_s(now_ms),
            is_asked: asked.asked_ms.is_some(),
            is_urgent: asked.asked_ms.is_some() && asked.objective_ms < URGENT_OBJECTIVE_MS,
            waiting: demand.waiting_for(now_ms, &model.name),
            in_progress: 0,
            has_adapters: model.adapters > 0,
        }
    }

    /// Returns what one more replica is worth.
    pub(super) fn worth_of_more(&self) -> f64 {
        if self.replicas == 0 {
            let waiting = if self.waiting > 0 {
                WAITING_WORTH + f64::from(self.waiting)
            } else {
                0.0
            };
            return waiting + self.worth_of_first();
        }
        self.worth_beyond(self.replicas)
    }

    /// Returns what is lost with one of the replicas.
    pub(super) fn worth_of_last(&self) -> f64 {
        match self.replicas {
            0 | 1 => self.worth_of_first(),
            replicas => self.worth_beyond(replicas - 1),
        }
    }

    fn worth_of_first(&self) -> f64 {
        if !self.is_asked && self.has_adapters {
            return UNASKED_ADAPTERS_WORTH;
        }
        if !self.is_asked {
            return UNASKED_WORTH;
        }
        self.rate_per_s * self.weight()
    }

    fn weight(&self) -> f64 {
        if self.is_urgent { URGENT_FACTOR } else { 1.0 }
    }

    /// Returns what a replica is worth beside `others`, which is at least one.
    fn worth_beyond(&self, others: u32) -> f64 {
        let load = f64::from(self.in_progress + self.waiting);
        let late = late_share(load / f64::from(others)) - late_share(load / f64::from(others + 1));
        if late > 0.0 {
            return self.rate_per_s * self.weight() * late;
        }
        if !self.is_asked {
            return if others == 1 && self.replicas > 1 {
                UNASKED_SECOND_WORTH
            } else {
                UNASKED_SPARE_WORTH
            };
        }
        if others == 1 && self.is_urgent && self.rate_per_s > SPARE_RATE_PER_S {
            return SPARE_WORTH * self.rate_per_s;
        }
        0.0
    }
}

/// Returns how late answers come at a replica with `load` requests in progress, as a share.
fn late_share(load: f64) -> f64 {
    CROWDED_LATE * ((load - EASY_LOAD) / CROWDED_LOAD).max(0.0)
}
