use chicorystage_api::name::{AdapterName, ModelName};

/// A model that is loaded on an endpoint, with its loaded adapters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: ModelName,
    /// Names of the loaded adapters.
    pub adapters: Vec<AdapterName>,
}
