use std::collections::HashMap;

use chicorystage_api::name::ModelName;

use crate::deployment::EngineSpec;

/// Memory that one model takes at an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ModelSize {
    /// Accelerator memory of the weights, in megabytes.
    pub weights_mb: f64,
    /// Accelerator memory of one adapter, in megabytes.
    pub adapter_mb: f64,
}

impl ModelSize {
    fn max(self, other: Self) -> Self {
        Self {
            weights_mb: self.weights_mb.max(other.weights_mb),
            adapter_mb: self.adapter_mb.max(other.adapter_mb),
        }
    }
}

/// Sizes under earlier configurations of the models that an engine may still hold.
///
/// An engine holds what it was ordered to hold, also after the configuration has dropped a model or
/// changed its size.
#[derive(Clone, Debug, Default)]
pub(crate) struct FormerSizes {
    sizes: HashMap<ModelName, ModelSize>,
}

impl FormerSizes {
    /// Records the size of a model under a configuration that is being replaced, if it lists the model.
    pub fn record(&mut self, spec: &EngineSpec, model: &ModelName) {
        let Some(size) = listed_size(spec, model) else {
            return;
        };
        let known = self.sizes.entry(model.clone()).or_insert(size);
        *known = known.max(size);
    }

    /// Forgets the models that the engine cannot hold any more.
    pub fn retain(&mut self, may_hold: impl Fn(&ModelName) -> bool) {
        self.sizes.retain(|model, _| may_hold(model));
    }

    /// Returns an upper bound of the memory of a model.
    ///
    /// A model of unknown size may fill the whole engine.
    pub fn size(&self, spec: &EngineSpec, model: &ModelName) -> ModelSize {
        let former = self.sizes.get(model).copied();
        match (listed_size(spec, model), former) {
            (Some(listed), Some(former)) => listed.max(former),
            (Some(size), None) | (None, Some(size)) => size,
            (None, None) => ModelSize {
                weights_mb: spec.memory_mb,
                adapter_mb: spec.memory_mb,
            },
        }
    }
}

fn listed_size(spec: &EngineSpec, model: &ModelName) -> Option<ModelSize> {
    spec.models.get(model).map(|model| ModelSize {
        weights_mb: model.weights_mb,
        adapter_mb: model.adapter_mb,
    })
}
