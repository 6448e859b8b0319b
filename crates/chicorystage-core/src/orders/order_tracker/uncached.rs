//! Models that only the weight store can bring.

use std::collections::HashSet;

use chicorystage_api::name::{ModelName, ServiceName};

use crate::deployment::EngineSpec;
use crate::fleet::{FleetView, UncachedModel};
use crate::orders::{EngineRecord, OrderTracker};

impl OrderTracker {
    /// Returns the models of a service that no engine has loaded, is loading or has a copy of.
    ///
    /// Returns none while a reachable engine has not reported its copies.
    #[must_use]
    pub fn uncached_models(
        &self,
        now_ms: u64,
        service: &ServiceName,
        spec: &EngineSpec,
        fleet: &FleetView,
    ) -> Vec<UncachedModel> {
        let is_reachable = |engine: &&EngineRecord| {
            let endpoint = fleet.get(&engine.id);
            endpoint.is_some_and(|endpoint| endpoint.is_reachable(now_ms))
        };
        let engines = self.engines_of(service).filter(is_reachable);
        let engines: Vec<&EngineRecord> = engines.collect();
        if engines.is_empty() || engines.iter().any(|engine| !engine.has_reported()) {
            return Vec::new();
        }
        let cached: HashSet<&ModelName> = engines
            .iter()
            .flat_map(|engine| engine.cached_models())
            .collect();
        let uncached = spec
            .models
            .values()
            .filter(|model| !cached.contains(&model.name));
        let uncached = uncached.map(|model| UncachedModel {
            model: model.name.clone(),
            load_ms: model.store_load_ms,
        });
        uncached.collect()
    }
}
