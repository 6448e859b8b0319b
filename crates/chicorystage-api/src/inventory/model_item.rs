use serde::{Deserialize, Serialize};

use crate::inventory::ModelVersion;
use crate::name::{GroupName, ModelName, OwnerName, VersionName};

/// A base model and its versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelItem {
    /// Name of the model.
    pub name: ModelName,
    /// Organisational unit that owns the model.
    pub owner: OwnerName,
    /// Group of the endpoints that can run the model.
    pub group: GroupName,
    /// Version used for requests that name none.
    pub default_version: VersionName,
    /// All versions that can be loaded.
    pub versions: Vec<ModelVersion>,
}

impl ModelItem {
    /// Returns the version of that name, or the default version if no name is given.
    ///
    /// Returns `None` if the version does not exist.
    #[must_use]
    pub fn version(&self, name: Option<&VersionName>) -> Option<&ModelVersion> {
        let requested = name.unwrap_or(&self.default_version);
        self.versions
            .iter()
            .find(|entry| entry.version == *requested)
    }
}
