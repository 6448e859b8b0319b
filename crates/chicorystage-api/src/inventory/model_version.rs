use serde::{Deserialize, Serialize};

use crate::name::VersionName;

/// One version of a base model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelVersion {
    /// Name of the version.
    pub version: VersionName,
    /// Accelerator memory of a loaded replica of the version, in bytes.
    pub memory_bytes: u64,
}
