use chicorystage_api::name::{ModelName, VersionName};
use derive_more::Display;

/// Model and version of a replica.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{model}@{version}")]
pub struct ReplicaKey {
    /// Model of the replica.
    pub model: ModelName,
    /// Version of the replica.
    pub version: VersionName,
}

impl ReplicaKey {
    /// Creates a key from copies of a model's and a version's name.
    #[must_use]
    pub fn new(model: &ModelName, version: &VersionName) -> Self {
        Self {
            model: model.clone(),
            version: version.clone(),
        }
    }
}
