use chicorystage_api::name::{AdapterName, ModelName, VersionName};
use serde::{Deserialize, Serialize};

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number; an engine that enforces it refuses one below its highest.
    pub fence: u64,
    /// What to do.
    pub kind: OrderKind,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OrderKind {
    /// Raise the highest fencing number seen and change nothing else.
    Fence,
    /// Load a replica.
    Load {
        /// Model.
        model: ModelName,
        /// Version.
        version: VersionName,
        /// Memory that the replica takes, in bytes.
        memory_bytes: u64,
    },
    /// Unload a replica and its adapters.
    Unload {
        /// Model.
        model: ModelName,
        /// Version.
        version: VersionName,
    },
    /// Load an adapter onto a loaded replica.
    LoadAdapter {
        /// Model.
        model: ModelName,
        /// Adapter.
        adapter: AdapterName,
        /// Memory that the adapter takes, in bytes.
        memory_bytes: u64,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// Model.
        model: ModelName,
        /// Adapter.
        adapter: AdapterName,
    },
}
