use chicorystage_api::name::{AdapterName, ModelName};

/// A model that an endpoint holds, with the adapters that it holds of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldModel {
    /// Name of the model.
    pub model: ModelName,
    /// Names of its adapters.
    pub adapters: Vec<AdapterName>,
}
