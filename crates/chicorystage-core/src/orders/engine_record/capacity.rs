//! How much of an engine's memory and how many of its adapter slots are in use, or may be.

use std::collections::BTreeSet;

use chicorystage_api::name::ModelName;

use crate::deployment::{EngineSpec, ModelSpec};
use crate::orders::EngineRecord;

impl EngineRecord {
    /// Returns an upper bound of the memory in use, in megabytes.
    ///
    /// It covers everything that is loaded, is being loaded, or is not confirmed to be unloaded.
    #[must_use]
    pub fn memory_mb(&self, spec: &EngineSpec) -> f64 {
        let loaded = self
            .loaded
            .iter()
            .map(|(model, adapters)| model_mb(spec, model, adapters.len()));
        let loading = self
            .loading_adapters
            .iter()
            .map(|(adapter, _)| adapter_mb(spec, &adapter.model));
        let unloading = self
            .unloading_adapters
            .iter()
            .map(|adapter| adapter_mb(spec, &adapter.model));
        let sent = self.outstanding.as_ref().map_or(0.0, |sent| {
            if sent.order.kind.adapter().is_some() {
                adapter_mb(spec, &sent.order.model)
            } else {
                model_mb(spec, &sent.order.model, spec.adapters_max)
            }
        });
        let change = self
            .change
            .as_ref()
            .map_or(0.0, |change| model_mb(spec, change.model(), 0));
        let late = self.late_orders.memory_mb(spec, self.sequence);
        loaded.sum::<f64>() + loading.sum::<f64>() + unloading.sum::<f64>() + sent + change + late
    }

    /// Returns whether a model fits into memory once `victim`, if any, is unloaded.
    #[must_use]
    pub fn fits(&self, spec: &EngineSpec, model: &ModelSpec, victim: Option<&ModelName>) -> bool {
        let freed_mb = victim.map_or(0.0, |victim| {
            let adapters = self.loaded.get(victim).map_or(0, BTreeSet::len);
            model_mb(spec, victim, adapters)
        });
        self.memory_mb(spec) - freed_mb + model.weights_mb <= spec.memory_mb
    }

    /// Returns the number of adapters that are loaded, being loaded, being unloaded or may be
    /// loaded by a late order.
    #[must_use]
    pub fn adapter_count(&self) -> usize {
        let loaded: usize = self.loaded.values().map(BTreeSet::len).sum();
        let late = self.late_orders.adapter_count(self.sequence);
        loaded + self.loading_adapters.len() + self.unloading_adapters.len() + late
    }

    /// Returns whether an adapter is being unloaded, so that its slot becomes free.
    #[must_use]
    pub fn is_unloading_adapter(&self) -> bool {
        !self.unloading_adapters.is_empty()
    }
}

fn model_mb(spec: &EngineSpec, model: &ModelName, adapters: usize) -> f64 {
    let Some(model) = spec.models.get(model) else {
        return 0.0;
    };
    let adapters = u32::try_from(adapters).unwrap_or(u32::MAX);
    model.weights_mb + model.adapter_mb * f64::from(adapters)
}

fn adapter_mb(spec: &EngineSpec, model: &ModelName) -> f64 {
    spec.models.get(model).map_or(0.0, |model| model.adapter_mb)
}
