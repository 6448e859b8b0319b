use chicorystage_api::name::ModelName;

/// A model that an endpoint is loading.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ComingModel {
    /// Name of the model.
    pub model: ModelName,
    /// Time at which it should be loaded, in milliseconds.
    pub due_ms: u64,
}
