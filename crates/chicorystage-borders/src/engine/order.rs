use chicorystage_api::name::{AdapterName, ModelName, VersionName};
use serde::{Deserialize, Serialize};

/// Command to an engine to load or unload a replica or an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token; an engine that enforces it refuses any token below its highest.
    pub fence: u64,
    /// Action to take.
    pub kind: OrderKind,
}

/// Action that an order requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OrderKind {
    /// Raise the engine's highest fencing token and change nothing else.
    Fence,
    /// Load a replica.
    Load {
        /// Model of the replica.
        model: ModelName,
        /// Version of the replica.
        version: VersionName,
        /// Accelerator memory that the replica takes, in bytes.
        memory_bytes: u64,
    },
    /// Unload a replica together with its adapters.
    Unload {
        /// Model of the replica.
        model: ModelName,
        /// Version of the replica.
        version: VersionName,
    },
    /// Load an adapter onto a loaded replica.
    LoadAdapter {
        /// Model of the replica.
        model: ModelName,
        /// Adapter to load.
        adapter: AdapterName,
        /// Accelerator memory that the adapter takes, in bytes.
        memory_bytes: u64,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// Model of the replica.
        model: ModelName,
        /// Adapter to unload.
        adapter: AdapterName,
    },
}
