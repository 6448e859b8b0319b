use chicorystage_api::name::ModelName;

use crate::orders::LoadSource;

/// A load or unload of a model that an engine has accepted and not completed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ModelChange {
    /// The engine loads the model.
    Loading {
        /// Model that is loaded.
        model: ModelName,
        /// Where the weights are read from.
        source: LoadSource,
        /// Time at which the order was accepted, in milliseconds.
        accepted_ms: u64,
        /// Time at which the load should complete, in milliseconds.
        due_ms: u64,
    },
    /// The engine unloads the model once the model's requests have completed.
    Unloading {
        /// Model that is unloaded.
        model: ModelName,
        /// Time at which the unload should complete, in milliseconds.
        due_ms: u64,
    },
}

impl ModelChange {
    /// Returns the model that is loaded or unloaded.
    #[must_use]
    pub fn model(&self) -> &ModelName {
        match self {
            Self::Loading { model, .. } | Self::Unloading { model, .. } => model,
        }
    }

    /// Returns the time at which the change should complete, in milliseconds.
    #[must_use]
    pub fn due_ms(&self) -> u64 {
        match self {
            Self::Loading { due_ms, .. } | Self::Unloading { due_ms, .. } => *due_ms,
        }
    }

    /// Returns the expected duration and the elapsed time of a load from the weight store.
    ///
    /// Both are in milliseconds. Returns `None` for any other change.
    #[must_use]
    pub fn store_load_times_ms(&self, now_ms: u64) -> Option<(f64, f64)> {
        let Self::Loading {
            source: LoadSource::Store,
            accepted_ms,
            due_ms,
            ..
        } = self
        else {
            return None;
        };
        #[expect(clippy::cast_precision_loss, reason = "loads take seconds to minutes")]
        let time_ms = |until_ms: u64| until_ms.saturating_sub(*accepted_ms) as f64;
        Some((time_ms(*due_ms), time_ms(now_ms)))
    }
}
