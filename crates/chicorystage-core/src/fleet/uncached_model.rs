use chicorystage_api::name::ModelName;
use serde::{Deserialize, Serialize};

/// A model that no endpoint has loaded or has a copy of, so that only the weight store can bring it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UncachedModel {
    /// The model.
    pub model: ModelName,
    /// Time of a load from the weight store, in milliseconds.
    pub load_ms: u64,
}
