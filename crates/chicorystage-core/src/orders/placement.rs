//! Chooses the next order about a model: which one to load, on which engine, and what to evict.
//!
//! Every candidate engine has a cost: load time, occupancy, blocked adapter loads and the value
//! of the model to evict. The cheapest engine is chosen if the gain exceeds thresholds that
//! keep models from displacing each other in turn.

use std::collections::HashMap;

use chicorystage_api::name::{EndpointId, ModelName};

use crate::deployment::{EngineSpec, ModelSpec};
use crate::fleet::FleetView;
use crate::orders::model_value::ModelState;
use crate::orders::{EngineRecord, LoadSource, OrderKind};

/// Factor by which the value of a model must exceed that of the model it evicts.
const EVICTION_VALUE_RATIO: f64 = 1.5;
/// Value that a load must exceed in addition to the value of what it evicts.
const LOAD_VALUE_MARGIN: f64 = 0.015;
/// Longest wait for an occupied engine with cached weights, in milliseconds.
const CACHED_COPY_WAIT_MAX_MS: u64 = 2_500;
/// Value from which a further replica is loaded from the weight store.
const STORE_REPLICA_VALUE_MIN: f64 = 5.0;
/// Time after its load for which a model is not evicted, in milliseconds.
const EVICTION_GRACE_MS: u64 = 1_500;
/// Cost of a second of loading, which favours engines with cached weights.
const LOAD_SECOND_COST: f64 = 0.3;
/// Cost of blocking adapter loads, per request a second for a loaded model with adapters.
const ADAPTER_RATE_COST: f64 = 0.1;
/// Upper bound of the cost of blocking adapter loads.
const ADAPTER_COST_MAX: f64 = 1.0;
/// Cost of a full batch, in proportion to the occupied slots, which favours idle engines.
const FULL_BATCH_COST: f64 = 0.3;
/// Cost of an engine that names a limit on requests, above the others for engines with cached weights.
const LIMITED_ENGINE_COST: f64 = 5.0;

/// One order towards a load: the load itself, or the unload that frees memory for it.
#[derive(Clone, Debug)]
pub(super) struct PlacementStep {
    pub endpoint: EndpointId,
    pub model: ModelName,
    pub kind: OrderKind,
    pub source: LoadSource,
    /// Model that the freed memory is reserved for if the order is an unload.
    pub reserved: Option<ModelName>,
}

/// The inputs of one placement decision.
#[derive(Debug)]
pub(super) struct PlacementContext<'a> {
    pub now_ms: u64,
    pub spec: &'a EngineSpec,
    pub engines: &'a [&'a EngineRecord],
    pub states: &'a HashMap<ModelName, ModelState>,
    pub fleet: &'a FleetView,
    /// Requests in progress by engine and model.
    pub in_progress: &'a HashMap<(EndpointId, ModelName), u32>,
    /// Whether a load from the weight store may start.
    pub store_has_capacity: bool,
    /// Lowest value that a load must displace, over all engines that accept orders.
    pub displaced_value_min: f64,
}

impl PlacementContext<'_> {
    /// Returns the cheapest order towards one more replica of a model.
    ///
    /// Returns `None` if no engine can accept the order or the replica's value is too low.
    ///
    /// A model without requests is not loaded from the weight store, since other models may need
    /// the store soon. A load from the store takes several times as long as one from a cached
    /// copy, so an occupied engine with a copy is waited for up to [`CACHED_COPY_WAIT_MAX_MS`].
    pub(super) fn best_step(
        &self,
        model: &ModelSpec,
        value: f64,
        waited_ms: u64,
    ) -> Option<PlacementStep> {
        let has_copy = self.engines.iter().any(|engine| {
            engine.source(&model.name) != LoadSource::Store
                && !engine.loaded.contains_key(&model.name)
        });
        let state = self.states.get(&model.name);
        let is_served = state.is_some_and(|state| state.replicas > 0);
        let is_requested = state.is_some_and(|state| state.is_requested);
        let store_may_serve = if is_served {
            !has_copy && value >= STORE_REPLICA_VALUE_MIN
        } else {
            is_requested && (!has_copy || waited_ms >= CACHED_COPY_WAIT_MAX_MS)
        };
        let candidates = self.engines.iter().filter(|engine| {
            engine.can_accept_order(self.now_ms)
                && engine.reserved().is_none()
                && !engine.loaded.contains_key(&model.name)
                && (store_may_serve || engine.source(&model.name) != LoadSource::Store)
        });
        let mut best: Option<(f64, PlacementStep)> = None;
        for engine in candidates {
            let Some((cost, step)) = self.step_on(engine, model, value) else {
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
    pub(super) fn can_displace(&self, value: f64) -> bool {
        value > self.displaced_value_min * EVICTION_VALUE_RATIO + LOAD_VALUE_MARGIN
    }

    /// Returns the lowest value that a load must displace over all engines that accept orders.
    ///
    /// Returns 0 if an engine has free memory for the smallest model, and infinity if no engine
    /// accepts orders.
    pub(super) fn lowest_displaced_value(&self) -> f64 {
        let smallest_mb = self.smallest_mb();
        let mut cheapest = f64::INFINITY;
        for engine in self.engines {
            if !engine.can_accept_order(self.now_ms) {
                continue;
            }
            if engine.memory_mb(self.spec) + smallest_mb <= self.spec.memory_mb {
                return 0.0;
            }
            for loaded in engine.loaded.keys() {
                let lost_value = self
                    .states
                    .get(loaded)
                    .map_or(0.0, ModelState::last_replica_value);
                cheapest = cheapest.min(lost_value);
            }
        }
        cheapest
    }

    fn smallest_mb(&self) -> f64 {
        let weights = self.spec.models.values().map(|model| model.weights_mb);
        weights.fold(f64::INFINITY, f64::min)
    }

    fn step_on(
        &self,
        engine: &EngineRecord,
        model: &ModelSpec,
        value: f64,
    ) -> Option<(f64, PlacementStep)> {
        let source = engine.source(&model.name);
        if source == LoadSource::Store && !self.store_has_capacity {
            return None;
        }
        let load_s = seconds(load_ms(model, source));
        let occupancy = self.fleet.occupancy(&engine.id);
        let occupied_share = f64::from(occupancy) / f64::from(self.spec.slots.max(1));
        let cost = LOAD_SECOND_COST * load_s
            + FULL_BATCH_COST * occupied_share
            + self.adapter_cost(engine)
            + self.limit_cost(engine);
        if engine.fits(self.spec, model, None) {
            let step = PlacementStep {
                endpoint: engine.id.clone(),
                model: model.name.clone(),
                kind: OrderKind::Load,
                source,
                reserved: None,
            };
            return (value > LOAD_VALUE_MARGIN).then_some((cost, step));
        }
        let victim = self.eviction_candidate(engine, model);
        let victim = victim.or_else(|| Some((0.0, self.unlisted_model(engine)?)));
        let (lost_value, victim) = victim?;
        if value <= lost_value * EVICTION_VALUE_RATIO + LOAD_VALUE_MARGIN {
            return None;
        }
        let step = PlacementStep {
            endpoint: engine.id.clone(),
            model: victim.clone(),
            kind: OrderKind::Unload,
            source,
            reserved: Some(model.name.clone()),
        };
        Some((cost + lost_value, step))
    }

    /// Returns the cost of an engine that names a limit on requests.
    fn limit_cost(&self, engine: &EngineRecord) -> f64 {
        let endpoint = self.fleet.get(&engine.id);
        let is_limited = endpoint.is_some_and(|endpoint| endpoint.limit.get().is_some());
        if is_limited { LIMITED_ENGINE_COST } else { 0.0 }
    }

    /// Returns the cost of blocking adapter loads: an engine that loads a model accepts none.
    fn adapter_cost(&self, engine: &EngineRecord) -> f64 {
        let loaded = engine
            .loaded
            .keys()
            .filter_map(|loaded| self.states.get(loaded));
        let rate_per_s: f64 = loaded
            .filter(|state| state.has_adapters)
            .map(|state| state.rate_per_s)
            .sum();
        (ADAPTER_RATE_COST * rate_per_s).min(ADAPTER_COST_MAX)
    }

    /// Returns a loaded model that the configuration does not list and no request uses.
    ///
    /// Several of unknown size have to be unloaded before anything is known to fit.
    fn unlisted_model<'b>(&self, engine: &'b EngineRecord) -> Option<&'b ModelName> {
        let mut unlisted = engine
            .loaded
            .keys()
            .filter(|loaded| !self.spec.models.contains_key(*loaded));
        unlisted.find(|loaded| self.is_evictable(engine, loaded))
    }

    /// Returns whether no request uses a loaded model and it was not loaded just now.
    fn is_evictable(&self, engine: &EngineRecord, loaded: &ModelName) -> bool {
        let key = (engine.id.clone(), loaded.clone());
        !self.in_progress.contains_key(&key)
            && !engine.is_recently_loaded(self.now_ms, loaded, EVICTION_GRACE_MS)
    }

    /// Returns the least valuable loaded model that can be evicted to make `model` fit.
    ///
    /// Models with requests in progress and recently loaded models are not evicted.
    fn eviction_candidate<'b>(
        &self,
        engine: &'b EngineRecord,
        model: &ModelSpec,
    ) -> Option<(f64, &'b ModelName)> {
        let mut best: Option<(f64, &ModelName)> = None;
        for loaded in engine.loaded.keys() {
            let is_evictable = self.is_evictable(engine, loaded);
            if !is_evictable || !engine.fits(self.spec, model, Some(loaded)) {
                continue;
            }
            let lost_value = self
                .states
                .get(loaded)
                .map_or(0.0, ModelState::last_replica_value);
            if best.is_none_or(|(least, _)| lost_value < least) {
                best = Some((lost_value, loaded));
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
