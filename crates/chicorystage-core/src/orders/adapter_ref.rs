use chicorystage_api::name::{AdapterName, ModelName};

/// Identifies an adapter by its model and its own name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdapterRef {
    /// Model that the adapter extends.
    pub model: ModelName,
    /// Name of the adapter, unique within the model.
    pub adapter: AdapterName,
}
