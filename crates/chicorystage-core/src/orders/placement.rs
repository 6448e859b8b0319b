//! Chooses the next order about a model: which one to load, on which engine, and what to evict.
//!
//! Every candidate engine has a cost: load time, occupancy, blocked adapter loads and the value
//! of the model to evict. The cheapest engine is chosen if the gain exceeds thresholds that
//! keep models from displacing each other in turn.

use std::collections::HashMap;

use chicorystage_api::name::{EndpointId, ModelName};

use crate::deployment::{EngineSpec, ModelSpec};
use crate::fleet::FleetView;
use crate::orders::worth::ModelState;
use crate::orders::{EngineRecord, LoadSource, OrderKind};

/// Factor by which the value of a model must exceed that of the model it evicts.
const ADVANTAGE: f64 = 1.5;
/// Value that a load must exceed in addition to the value of what it evicts.
const LOAD_WORTH: f64 = 0.015;
/// Longest wait for an occupied engine with cached weights, in milliseconds.
const COPY_WAIT_MS: u64 = 2_500;
/// Value from which a further replica is loaded from the weight store.
const STORE_REPLICA_WORTH: f64 = 5.0;
/// Time after its load for which a model is not evicted, in milliseconds.
const FRESH_MS: u64 = 1_500;
/// Cost of a second of loading, which favours engines with cached weights.
const LOAD_SECOND_WORTH: f64 = 0.3;
/// Cost of blocking adapter loads, per request a second for a loaded model with adapters.
const ADAPTER_RATE_WORTH: f64 = 0.1;
/// Upper bound of the cost of blocking adapter loads.
const ADAPTER_WORTH_MAX: f64 = 1.0;
/// Cost of a full batch, in proportion to the occupied slots, which favours idle engines.
const IDLE_WORTH: f64 = 0.3;

/// One order towards a load: the load itself, or the unload that frees memory for it.
#[derive(Clone, Debug)]
pub(super) struct Step {
    pub endpoint: EndpointId,
    pub model: ModelName,
    pub kind: OrderKind,
    pub source: LoadSource,
    /// Model that the freed memory is reserved for if the order is an unload.
    pub reserved: Option<ModelName>,
}

/// The inputs of one placement decision.
#[derive(Debug)]
pub(super) struct Scene<'a> {
    pub now_ms: u64,
    pub spec: &'a EngineSpec,
    pub engines: &'a [&'a EngineRecord],
    pub states: &'a HashMap<ModelName, ModelState>,
    pub fleet: &'a FleetView,
    /// Requests in progress by engine and model.
    pub in_progress: &'a HashMap<(EndpointId, ModelName), u32>,
    /// Whether a load from the weight store may start.
    pub store_is_free: bool,
    /// Lowest value that a load must displace, over all engines that accept orders.
    pub cheapest: f64,
}

impl Scene<'_> {
    /// Returns the cheapest order towards one more replica of a model.
    ///
    /// Returns `None` if no engine can accept the order or the replica's value is too low.
    ///
    /// A model without requests is not loaded from the weight store, since other models may need
    /// the store soon. A load from the store takes several times as long as one from a cached
    /// copy, so the plan waits up to [`COPY_WAIT_MS`] for an occupied engine with a copy.
    pub(super) fn step(&self, model: &ModelSpec, worth: f64, waited_ms: u64) -> Option<Step> {
        let has_copy = self.engines.iter().any(|engine| {
            engine.source(&model.name) != LoadSource::Store
                && !engine.held.contains_key(&model.name)
        });
        let state = self.states.get(&model.name);
        let is_served = state.is_some_and(|state| state.replicas > 0);
        let is_asked = state.is_some_and(|state| state.is_asked);
        let store_may_serve = if is_served {
            !has_copy && worth >= STORE_REPLICA_WORTH
        } else {
            is_asked && (!has_copy || waited_ms >= COPY_WAIT_MS)
        };
        let options = self.engines.iter().filter(|engine| {
            engine.takes_order(self.now_ms)
                && engine.reserved().is_none()
                && !engine.held.contains_key(&model.name)
                && (store_may_serve || engine.source(&model.name) != LoadSource::Store)
        });
        let mut best: Option<(f64, Step)> = None;
        for engine in options {
            let Some((cost, step)) = self.option(engine, model, worth) else {
                continue;
            };
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, step));
            }
        }
        best.map(|(_, step)| step)
    }

    /// Returns whether any engine could load a model of this value now.
    ///
    /// This cheap test spares the search over all engines for the many models of low value.
    pub(super) fn is_worth_a_look(&self, worth: f64) -> bool {
        worth > self.cheapest * ADVANTAGE + LOAD_WORTH
    }

    /// Returns the lowest value that a load must displace over all engines that accept orders.
    ///
    /// Returns 0 if an engine has free memory, and infinity if no engine accepts orders.
    pub(super) fn cheapest_place(&self) -> f64 {
        let smallest_mb = self.smallest_mb();
        let mut cheapest = f64::INFINITY;
        for engine in self.engines {
            if !engine.takes_order(self.now_ms) {
                continue;
            }
            if engine.memory_mb(self.spec) + smallest_mb <= self.spec.memory_mb {
                return 0.0;
            }
            for held in engine.held.keys() {
                let lost = self.states.get(held).map_or(0.0, ModelState::worth_of_last);
                cheapest = cheapest.min(lost);
            }
        }
        cheapest
    }

    fn smallest_mb(&self) -> f64 {
        let weights = self.spec.models.values().map(|model| model.weights_mb);
        weights.fold(f64::INFINITY, f64::min)
    }

    fn option(&self, engine: &EngineRecord, model: &ModelSpec, worth: f64) -> Option<(f64, Step)> {
        let source = engine.source(&model.name);
        if source == LoadSource::Store && !self.store_is_free {
            return None;
        }
        let load_s = seconds(load_ms(model, source));
        let occupancy = self.fleet.occupancy(&engine.id);
        let crowd = f64::from(occupancy) / f64::from(self.spec.slots.max(1));
        let cost = LOAD_SECOND_WORTH * load_s + IDLE_WORTH * crowd + self.adapter_cost(engine);
        if engine.fits(self.spec, model, None) {
            let step = Step {
                endpoint: engine.id.clone(),
                model: model.name.clone(),
                kind: OrderKind::Load,
                source,
                reserved: None,
            };
            return (worth > LOAD_WORTH).then_some((cost, step));
        }
        let (lost, victim) = self.victim(engine, model)?;
        if worth <= lost * ADVANTAGE + LOAD_WORTH {
            return None;
        }
        let step = Step {
            endpoint: engine.id.clone(),
            model: victim.clone(),
            kind: OrderKind::Unload,
            source,
            reserved: Some(model.name.clone()),
        };
        Some((cost + lost, step))
    }

    /// Returns the cost of blocking adapter loads: an engine that loads a model accepts none.
    fn adapter_cost(&self, engine: &EngineRecord) -> f64 {
        let held = engine.held.keys().filter_map(|held| self.states.get(held));
        let rate_per_s: f64 = held
            .filter(|state| state.has_adapters)
            .map(|state| state.rate_per_s)
            .sum();
        (ADAPTER_RATE_WORTH * rate_per_s).min(ADAPTER_WORTH_MAX)
    }

    /// Returns the least valuable loaded model that can be evicted to make `model` fit.
    ///
    /// Models with requests in progress and recently loaded models are not evicted.
    fn victim<'b>(
        &self,
        engine: &'b EngineRecord,
        model: &ModelSpec,
    ) -> Option<(f64, &'b ModelName)> {
        let mut best: Option<(f64, &ModelName)> = None;
        for held in engine.held.keys() {
            let key = (engine.id.clone(), held.clone());
            let is_used = self.in_progress.contains_key(&key);
            let is_fresh = engine.is_fresh(self.now_ms, held, FRESH_MS);
            if is_used || is_fresh || !engine.fits(self.spec, model, Some(held)) {
                continue;
            }
            let lost = self.states.get(held).map_or(0.0, ModelState::worth_of_last);
            if best.is_none_or(|(least, _)| lost < least) {
                best = Some((lost, held));
            }
        }
        best
    }
}

/// Returns the expected duration of a load from `source`, in milliseconds.
pub(super) fn load_ms(model: &ModelSpec, source: LoadSource) -> u64 {
    match source {
        LoadSource::Memory => model.memory_load_ms,
        LoadSource::Disk => model.disk_load_ms,
        LoadSource::Store => model.store_load_ms,
    }
}

#[expect(clippy::cast_precision_loss, reason = "loads take seconds to minutes")]
fn seconds(time_ms: u64) -> f64 {
    const MS_PER_S: f64 = 1_000.0;
    time_ms as f64 / MS_PER_S
}
