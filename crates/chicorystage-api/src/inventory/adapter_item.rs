use serde::{Deserialize, Serialize};

use crate::name::{AdapterName, ModelName, OwnerName};

/// An adapter that runs on a replica of its base model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterItem {
    /// Base model.
    pub model: ModelName,
    /// Name of the adapter, unique within its base model.
    pub name: AdapterName,
    /// Unit that owns the adapter.
    pub owner: OwnerName,
    /// Accelerator memory that the loaded adapter takes, in bytes.
    pub memory_bytes: u64,
}
