use chicorystage_api::name::ModelName;

/// A model that the engines of a service can load.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Name of the model.
    pub name: ModelName,
    /// Accelerator memory of the weights, in megabytes.
    pub weights_mb: f64,
    /// Accelerator memory of one adapter, in megabytes.
    pub adapter_mb: f64,
    /// Number of adapters that exist for the model.
    pub adapters: u32,
    /// Duration of a load from the weight store, in milliseconds.
    pub store_load_ms: u64,
    /// Duration of a load from the endpoint's disk, in milliseconds.
    pub disk_load_ms: u64,
    /// Duration of a load from the endpoint's main memory, in milliseconds.
    pub memory_load_ms: u64,
}
