use serde::{Deserialize, Serialize};

use crate::inventory::ModelVersion;
use crate::name::{GroupName, ModelName, OwnerName, VersionName};

/// A base model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelItem {
    /// Name of the model.
    pub name: ModelName,
    /// Unit that owns the model.
    pub owner: OwnerName,
    /// Group of endpoints that can run it.
    pub group: GroupName,
    /// Version used where a request names none.
    pub default_version: VersionName,
    /// Versions that exist.
    pub versions: Vec<ModelVersion>,
}

impl ModelItem {
    /// Returns the version of that name, or the default where none is named.
    #[must_use]
    pub fn version(&self, name: Option<&VersionName>) -> Option<&ModelVersion> {
        let wanted = name.unwrap_or(&self.default_version);
        self.versions.iter().find(|entry| entry.version == *wanted)
    }
}
