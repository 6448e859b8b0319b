//! How much of an engine's memory and how many of its adapter slots are in use, or may be.

use std::collections::BTreeSet;

use chicorystage_api::name::ModelName;

use crate::deployment::{EngineSpec, ModelSpec};
use crate::orders::{EngineRecord, ModelChange, OrderKind};

impl EngineRecord {
    /// Returns an upper bound of the memory in use, in megabytes.
    ///
    /// It covers everything that is loaded, is being loaded, or is not confirmed to be unloaded. A model
    /// that the configuration does not list counts with its former size, or as the whole memory.
    #[must_use]
    pub fn memory_mb(&self, spec: &EngineSpec) -> f64 {
        let loaded = self
            .loaded
            .iter()
            .map(|(model, adapters)| self.model_mb(spec, model, adapters.len()));
        let loading = self
            .loading_adapters
            .iter()
            .map(|(adapter, _)| self.adapter_mb(spec, &adapter.model));
        let unloading = self
            .unloading_adapters
            .iter()
            .map(|adapter| self.adapter_mb(spec, &adapter.model));
        let sent = self.outstanding.as_ref().map_or(0.0, |sent| {
            if sent.order.kind.adapter().is_some() {
                self.adapter_mb(spec, &sent.order.model)
            } else {
                self.model_mb(spec, &sent.order.model, spec.adapters_max)
            }
        });
        let change = self
            .change
            .as_ref()
            .map_or(0.0, |change| self.model_mb(spec, change.model(), 0));
        let late = self.late_orders.possible(self.sequence);
        let late = late.map(|order| match order.kind {
            OrderKind::LoadAdapter(_) => self.adapter_mb(spec, &order.model),
            _ => self.model_mb(spec, &order.model, 0),
        });
        loaded.sum::<f64>()
            + loading.sum::<f64>()
            + unloading.sum::<f64>()
            + sent
            + change
            + late.sum::<f64>()
    }

    /// Returns whether a model fits into memory once `victim`, if any, is unloaded.
    #[must_use]
    pub fn fits(&self, spec: &EngineSpec, model: &ModelSpec, victim: Option<&ModelName>) -> bool {
        let freed_mb = victim.map_or(0.0, |victim| {
            let adapters = self.loaded.get(victim).map_or(0, BTreeSet::len);
            self.model_mb(spec, victim, adapters)
        });
        self.memory_mb(spec) - freed_mb + model.weights_mb <= spec.memory_mb
    }

    /// Returns whether a model fits into memory once the unload in progress, if any, is complete.
    #[must_use]
    pub fn fits_after_unload(&self, spec: &EngineSpec, model: &ModelSpec) -> bool {
        let freed_mb = match &self.change {
            Some(ModelChange::Unloading { model, .. }) => self.model_mb(spec, model, 0),
            Some(ModelChange::Loading { .. }) | None => 0.0,
        };
        self.memory_mb(spec) - freed_mb + model.weights_mb <= spec.memory_mb
    }

    /// Remembers what the engine may hold under a configuration that is being replaced.
    pub(in crate::orders) fn remember_sizes(&mut self, spec: &EngineSpec) {
        let held: Vec<ModelName> = self.held_models().cloned().collect();
        for model in &held {
            self.former_sizes.record(spec, model);
        }
    }

    /// Forgets the sizes of models that the engine does not hold any more.
    pub(super) fn forget_former_sizes(&mut self) {
        let held: Vec<ModelName> = self.held_models().cloned().collect();
        self.former_sizes.retain(|model| held.contains(model));
    }

    /// Returns the models that the engine has loaded or may load or hold still; one may come several
    /// times.
    fn held_models(&self) -> impl Iterator<Item = &ModelName> {
        let late = self.late_orders.possible(self.sequence);
        let late = late.map(|order| &order.model);
        let sent = self.outstanding.iter().map(|sent| &sent.order.model);
        let changing = self.change.iter().map(ModelChange::model);
        self.loaded.keys().chain(late).chain(sent).chain(changing)
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

    fn model_mb(&self, spec: &EngineSpec, model: &ModelName, adapters: usize) -> f64 {
        let size = self.former_sizes.size(spec, model);
        let adapters = u32::try_from(adapters).unwrap_or(u32::MAX);
        size.weights_mb + size.adapter_mb * f64::from(adapters)
    }

    fn adapter_mb(&self, spec: &EngineSpec, model: &ModelName) -> f64 {
        self.former_sizes.size(spec, model).adapter_mb
    }
}
