use chicorystage_api::name::ModelName;

use crate::orders::LoadSource;

/// What an engine is doing to a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Underway {
    /// It loads the model.
    Loading {
        /// The model.
        model: ModelName,
        /// Where the weights come from.
        source: LoadSource,
        /// Time at which it should be done, in milliseconds.
        due_ms: u64,
    },
    /// It unloads the model once the model's requests are done.
    Unloading {
        /// The model.
        model: ModelName,
        /// Time at which it should be done, in milliseconds.
        due_ms: u64,
    },
}

impl Underway {
    /// Returns the model that is changed.
    #[must_use]
    pub fn model(&self) -> &ModelName {
        match self {
            Self::Loading { model, .. } | Self::Unloading { model, .. } => model,
        }
    }

    /// Returns the time at which the change should be done, in milliseconds.
    #[must_use]
    pub fn due_ms(&self) -> u64 {
        match self {
            Self::Loading { due_ms, .. } | Self::Unloading { due_ms, .. } => *due_ms,
        }
    }
}
