use serde::{Deserialize, Serialize};

use crate::name::{AdapterName, ModelName, OwnerName};

/// An adapter that runs on a replica of its base model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterItem {
    /// Base model on whose replicas the adapter runs.
    pub model: ModelName,
    /// Name of the adapter, unique within its base model.
    pub name: AdapterName,
    /// Organisational unit that owns the adapter.
    pub owner: OwnerName,
    /// Accelerator memory of the loaded adapter, in bytes.
    pub memory_bytes: u64,
}
