use chicorystage_api::name::ModelName;

/// A model that an endpoint is loading, with the expected end of the load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadingModel {
    /// Name of the model.
    pub model: ModelName,
    /// Time at which the load is expected to complete, in milliseconds.
    pub due_ms: u64,
}
