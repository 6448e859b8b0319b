use std::sync::Arc;

use chicorystage_api::name::{ModelName, ServiceName};
use chicorystage_core::deployment::{
    Configuration, EngineSpec, ModelSpec, RequestLimits, ServiceSpec,
};

use super::{ADAPTER_MB, ADAPTERS_MAX, DISK_LOAD_MS, MEMORY_MB, MODEL_MB, MODELS};

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
    let models = (0..MODELS).map(|i| {
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
    let service = ServiceSpec {
        name: ServiceName::from("llm"),
        health_path: Arc::from("/healthz"),
        connections_max: 200,
        engine: Some(Arc::new(engine)),
    };
    Configuration::new(1, RequestLimits::default(), vec![service], Vec::new())
}
