use chicorystage_api::name::{AdapterName, ModelName};

/// An adapter of a model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdapterRef {
    /// Model that it belongs to.
    pub model: ModelName,
    /// Its name.
    pub adapter: AdapterName,
}
