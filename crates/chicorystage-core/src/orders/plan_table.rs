use std::collections::HashMap;

use chicorystage_api::name::{EndpointId, ModelName};

use crate::deployment::EngineSpec;
use crate::fleet::FleetView;
use crate::orders::model_value::ModelState;
use crate::orders::{DemandTracker, EngineRecord};

/// Per-model demand and occupancy, computed once per plan and read for every order.
#[derive(Clone, Debug)]
pub(super) struct PlanTable {
    /// Demand and replica count of each model.
    pub states: HashMap<ModelName, ModelState>,
    /// Requests in progress by engine and model.
    pub in_progress: HashMap<(EndpointId, ModelName), u32>,
    /// Requests in progress by engine.
    occupancy: HashMap<EndpointId, u32>,
    /// Requests a second that engines take by their own word; engines that name no limit are left out.
    limits_per_s: HashMap<EndpointId, f64>,
}

impl PlanTable {
    pub(super) fn new(
        now_ms: u64,
        spec: &EngineSpec,
        fleet: &FleetView,
        demand: &DemandTracker,
    ) -> Self {
        let models = spec.models.values();
        let mut states: HashMap<ModelName, ModelState> = models
            .map(|model| {
                (
                    model.name.clone(),
                    ModelState::new(now_ms, spec, model, demand),
                )
            })
            .collect();
        let in_progress = fleet.model_occupancy();
        let mut occupancy: HashMap<EndpointId, u32> = HashMap::new();
        for ((endpoint, _), count) in &in_progress {
            *occupancy.entry(endpoint.clone()).or_default() += count;
        }
        for ((_, model), count) in &in_progress {
            if let Some(state) = states.get_mut(model) {
                state.in_progress += count;
            }
        }
        let limits_per_s = fleet.endpoints().filter_map(|(id, endpoint)| {
            let limit = endpoint.limit.get()?;
            Some((id.clone(), limit.per_s()))
        });
        Self {
            states,
            in_progress,
            occupancy,
            limits_per_s: limits_per_s.collect(),
        }
    }

    /// Counts the replicas of each model, including those that are loading or planned, and the
    /// requests for other models at their engines.
    ///
    /// Replicas of an engine that takes fewer requests than its models get do not count.
    pub(super) fn count_replicas(&mut self, engines: &[&EngineRecord]) {
        for state in self.states.values_mut() {
            state.replicas = 0;
            state.others_in_progress = 0;
        }
        for engine in engines {
            if self.is_short(engine) {
                continue;
            }
            let occupancy = self.occupancy.get(&engine.id).copied().unwrap_or(0);
            let expected = engine
                .expected_model()
                .filter(|model| !engine.loaded.contains_key(*model));
            for model in engine.loaded.keys().chain(expected) {
                let Some(state) = self.states.get_mut(model) else {
                    continue;
                };
                state.replicas += 1;
                let key = (engine.id.clone(), model.clone());
                let own = self.in_progress.get(&key).copied().unwrap_or(0);
                state.others_in_progress += occupancy.saturating_sub(own);
            }
        }
    }

    /// Returns whether an engine has named a limit below the demand for its models.
    fn is_short(&self, engine: &EngineRecord) -> bool {
        let Some(limit_per_s) = self.limits_per_s.get(&engine.id) else {
            return false;
        };
        let states = engine
            .loaded
            .keys()
            .filter_map(|model| self.states.get(model));
        let demand_per_s: f64 = states.map(|state| state.rate_per_s).sum();
        demand_per_s > *limit_per_s
    }
}
