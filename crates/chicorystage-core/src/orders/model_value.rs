//! Estimates the value of one more replica of a model, and the loss from evicting one.
//!
//! Values are in requests a second, weighted by urgency, so that models compete for memory on
//! one scale.

use crate::deployment::{EngineSpec, ModelSpec};
use crate::orders::DemandTracker;

/// Latency objective below which callers time out during a load from disk, in milliseconds.
const URGENT_OBJECTIVE_MS: u64 = 1_000;
/// Weight of an urgent request relative to one that can wait for a load from disk.
const URGENT_FACTOR: f64 = 3.0;
/// Value of the first replica of a model without requests.
const UNREQUESTED_VALUE: f64 = 0.02;
/// Value of the first replica of a model with adapters and without requests.
///
/// It is higher than without adapters, since an adapter is made for a caller.
const UNREQUESTED_ADAPTERS_VALUE: f64 = 0.06;
/// Additional value of a first replica that requests wait for, above every other value.
const WAITING_VALUE: f64 = 10.0;
/// Requests in progress at one engine up to which the time between tokens stays short.
const COMFORTABLE_LOAD: f64 = 12.0;
/// Requests in progress beyond [`COMFORTABLE_LOAD`] at which an engine is overloaded.
const OVERLOAD_MARGIN: f64 = 16.0;
/// Share of late answers at an overloaded engine.
const OVERLOAD_LATE_SHARE: f64 = 0.15;
/// Mean share of an engine's slots in use from which requests at times find none free.
const CROWDED_SLOT_SHARE: f64 = 0.75;
/// Mean share of an engine's slots in use at which no request finds one free in time.
const FULL_SLOT_SHARE: f64 = 1.25;
/// Rate above which an urgent model gets a spare second replica, in requests a second.
const SPARE_RATE_PER_S: f64 = 2.0;
/// Value of the spare second replica of an urgent model, per request a second.
const SPARE_VALUE_PER_RATE: f64 = 0.25;
/// Value of a further replica of a model without requests.
const UNREQUESTED_SPARE_VALUE: f64 = 0.05;
/// Value of keeping an existing second replica of a model without requests.
///
/// Before the first request, the existing placement indicates which models are in demand.
const UNREQUESTED_SECOND_VALUE: f64 = 0.5;

/// Demand and replica count of one model over all engines.
#[derive(Clone, Debug)]
pub(super) struct ModelState {
    pub replicas: u32,
    pub rate_per_s: f64,
    pub is_requested: bool,
    pub is_urgent: bool,
    pub waiting: u32,
    /// Requests for the model in progress.
    pub in_progress: u32,
    /// Requests for other models in progress at the engines that hold the model, all together.
    pub others_in_progress: u32,
    pub has_adapters: bool,
    /// Slots of one engine.
    pub slots: u32,
}

impl ModelState {
    pub(super) fn new(
        now_ms: u64,
        spec: &EngineSpec,
        model: &ModelSpec,
        demand: &DemandTracker,
    ) -> Self {
        let model_demand = demand.model(&model.name);
        Self {
            replicas: 0,
            rate_per_s: model_demand.rate_per_s(now_ms),
            is_requested: model_demand.last_request_ms.is_some(),
            is_urgent: model_demand.last_request_ms.is_some()
                && model_demand.objective_ms < URGENT_OBJECTIVE_MS,
            waiting: demand.waiting_for(now_ms, &model.name),
            in_progress: 0,
            others_in_progress: 0,
            has_adapters: model.adapters > 0,
            slots: spec.slots,
        }
    }

    /// Returns the value of one more replica.
    pub(super) fn next_replica_value(&self) -> f64 {
        if self.replicas == 0 {
            let waiting = if self.waiting > 0 {
                WAITING_VALUE + f64::from(self.waiting)
            } else {
                0.0
            };
            return waiting + self.first_replica_value();
        }
        self.additional_value(self.replicas)
    }

    /// Returns the value that is lost if one of the replicas is evicted.
    pub(super) fn last_replica_value(&self) -> f64 {
        match self.replicas {
            0 | 1 => self.first_replica_value(),
            replicas => self.additional_value(replicas - 1),
        }
    }

    fn first_replica_value(&self) -> f64 {
        if !self.is_requested && self.has_adapters {
            return UNREQUESTED_ADAPTERS_VALUE;
        }
        if !self.is_requested {
            return UNREQUESTED_VALUE;
        }
        self.rate_per_s * self.weight()
    }

    fn weight(&self) -> f64 {
        if self.is_urgent { URGENT_FACTOR } else { 1.0 }
    }

    /// Returns the share of late answers if the model had this number of replicas, at least one.
    ///
    /// Its own requests spread over all replicas. The other models of an engine keep theirs there.
    fn late_share(&self, replicas: u32) -> f64 {
        let own = f64::from(self.in_progress + self.waiting) / f64::from(replicas);
        let others = f64::from(self.others_in_progress) / f64::from(self.replicas.max(1));
        late_share(own + others, self.slots)
    }

    /// Returns the value of a replica in addition to `others`, which is at least one.
    fn additional_value(&self, others: u32) -> f64 {
        let late_share_saved = self.late_share(others) - self.late_share(others + 1);
        if late_share_saved > 0.0 {
            return self.rate_per_s * self.weight() * late_share_saved;
        }
        if !self.is_requested {
            return if others == 1 && self.replicas > 1 {
                UNREQUESTED_SECOND_VALUE
            } else {
                UNREQUESTED_SPARE_VALUE
            };
        }
        if others == 1 && self.is_urgent && self.rate_per_s > SPARE_RATE_PER_S {
            return SPARE_VALUE_PER_RATE * self.rate_per_s;
        }
        0.0
    }
}

/// Returns the share of late answers at an engine with `load` requests in progress.
///
/// The share may exceed 1: of requests far beyond the slots, each one that a further replica takes
/// over counts as much as the others.
fn late_share(load: f64, slots: u32) -> f64 {
    let slow_steps = OVERLOAD_LATE_SHARE * ((load - COMFORTABLE_LOAD) / OVERLOAD_MARGIN).max(0.0);
    let slots_used = load / f64::from(slots.max(1));
    let no_slot = (slots_used - CROWDED_SLOT_SHARE) / (FULL_SLOT_SHARE - CROWDED_SLOT_SHARE);
    slow_steps + no_slot.max(0.0)
}
