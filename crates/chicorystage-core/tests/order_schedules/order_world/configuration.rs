use std::sync::Arc;

use chicorystage_api::name::{ModelName, ServiceName};
use chicorystage_core::deployment::{
    Configuration, EngineSpec, ModelSpec, RequestLimits, ServiceSpec,
};

use super::{
    ADAPTER_MB, ADAPTERS_MAX, DISK_LOAD_MS, LOADS_PER_S, MEMORY_MB, MODEL_MB, MODELS, STORE_LOAD_MS,
};

pub fn model(i: u32) -> ModelName {
    ModelName::from(format!("m{i}"))
}

pub fn configuration(store_load_ms: u64, loads_per_s: f64) -> Configuration {
    configuration_with_adapterless(store_load_ms, loads_per_s, 0)
}

/// A configuration whose first `adapterless` models have no adapters.
pub fn configuration_with_adapterless(
    store_load_ms: u64,
    loads_per_s: f64,
    adapterless: u32,
) -> Configuration {
    let service = service("llm", 0..MODELS, store_load_ms, loads_per_s, adapterless);
    Configuration::new(1, RequestLimits::default(), vec![service], Vec::new())
}

/// A configuration that lists these models.
pub fn configuration_listing(version: u64, models: impl IntoIterator<Item = u32>) -> Configuration {
    let service = service("llm", models, STORE_LOAD_MS, LOADS_PER_S, 0);
    Configuration::new(version, RequestLimits::default(), vec![service], Vec::new())
}

/// A configuration that lists all models with weights of this size.
pub fn configuration_of_size(version: u64, weights_mb: f64) -> Configuration {
    let mut service = service("llm", 0..MODELS, STORE_LOAD_MS, LOADS_PER_S, 0);
    let mut engine = service.engine.as_deref().cloned().expect("an engine");
    for model in engine.models.values_mut() {
        model.weights_mb = weights_mb;
    }
    service.engine = Some(Arc::new(engine));
    Configuration::new(version, RequestLimits::default(), vec![service], Vec::new())
}

/// A configuration whose models belong half to the service `llm` and half to the service `other`.
pub fn configuration_of_two_services() -> Configuration {
    let half = MODELS / 2;
    let services = vec![
        service("llm", 0..half, STORE_LOAD_MS, LOADS_PER_S, 0),
        service("other", half..MODELS, STORE_LOAD_MS, LOADS_PER_S, 0),
    ];
    Configuration::new(1, RequestLimits::default(), services, Vec::new())
}

fn service(
    name: &str,
    models: impl IntoIterator<Item = u32>,
    store_load_ms: u64,
    loads_per_s: f64,
    adapterless: u32,
) -> ServiceSpec {
    let models = models.into_iter().map(|i| {
        let spec = ModelSpec {
            name: model(i),
            weights_mb: MODEL_MB,
            adapter_mb: ADAPTER_MB,
            adapters: if i < adapterless { 0 } else { 12 },
            store_load_ms,
            disk_load_ms: DISK_LOAD_MS,
            memory_load_ms: 400,
        };
        (model(i), spec)
    });
    let engine = EngineSpec {
        slots: 32,
        memory_mb: MEMORY_MB,
        adapters_max: ADAPTERS_MAX,
        cache_tokens: 96_000,
        loads_per_s,
        models: models.collect(),
    };
    ServiceSpec {
        name: ServiceName::from(name),
        health_path: Arc::from("/healthz"),
        connections_max: 200,
        engine: Some(Arc::new(engine)),
    }
}
