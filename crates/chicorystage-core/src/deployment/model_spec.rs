use chicorystage_api::name::ModelName;

/// A model that a service may be asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Name of the model.
    pub name: ModelName,
    /// Memory that its weights take, in megabytes.
    pub weights_mb: f64,
    /// Memory that one of its adapters takes, in megabytes.
    pub adapter_mb: f64,
    /// Adapters of the model.
    pub adapters: u32,
    /// Time of a load from the weight store, in milliseconds.
    pub store_load_ms: u64,
    /// Time of a load from the endpoint's disk, in milliseconds.
    pub disk_load_ms: u64,
    /// Time of a load from the endpoint's main memory, in milliseconds.
    pub memory_load_ms: u64,
}
