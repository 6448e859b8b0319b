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
        /// Time at which it was ordered, in milliseconds.
        begun_ms: u64,
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

    /// Returns the expected and the actual time of a load from the weight store, in milliseconds.
    #[must_use]
    pub fn store_load_times_ms(&self, now_ms: u64) -> Option<(f64, f64)> {
        let Self::Loading {
            source: LoadSource::Store,
            begun_ms,
            due_ms,
            ..
        } = self
        else {
            return None;
        };
        #[expect(clippy::cast_precision_loss, reason = "loads take seconds to minutes")]
        let time_ms = |until_ms: u64| until_ms.saturating_sub(*begun_ms) as f64;
        Some((time_ms(*due_ms), time_ms(now_ms)))
    }
}
