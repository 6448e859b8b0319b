use chicorystage_api::name::AdapterName;
use derive_more::Display;

/// What an order tells an engine to do: load or unload a model or an adapter.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum OrderKind {
    /// Load the model's weights.
    #[display("load")]
    Load,
    /// Unload the model and its adapters.
    #[display("unload")]
    Unload,
    /// Load an adapter of the model.
    #[display("load adapter {_0}")]
    LoadAdapter(AdapterName),
    /// Unload an adapter of the model.
    #[display("unload adapter {_0}")]
    UnloadAdapter(AdapterName),
}

impl OrderKind {
    /// Returns the adapter to load or unload, or `None` for an order about a model.
    #[must_use]
    pub fn adapter(&self) -> Option<&AdapterName> {
        match self {
            Self::Load | Self::Unload => None,
            Self::LoadAdapter(adapter) | Self::UnloadAdapter(adapter) => Some(adapter),
        }
    }

    /// Returns whether the order loads a model or an adapter.
    #[must_use]
    pub fn is_load(&self) -> bool {
        matches!(self, Self::Load | Self::LoadAdapter(_))
    }
}
