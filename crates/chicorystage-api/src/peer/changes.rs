use serde::{Deserialize, Serialize};

use crate::inventory::{ChangeRecord, Snapshot};
use crate::name::VmId;

/// A long poll for inventory changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesQuery {
    /// VM that asks.
    pub vm: VmId,
    /// Revision that the asker enforces; 0 where it has none.
    pub since_revision: u64,
    /// Longest time to hold the poll open, in milliseconds.
    pub wait_ms: u64,
}

/// Answer to a [`ChangesQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Changes {
    /// Nothing newer came within the wait.
    Unchanged,
    /// Records after the asker's revision, oldest first, without gaps.
    Tail {
        /// The records.
        records: Vec<ChangeRecord>,
    },
    /// The asker is too far behind for the tail.
    Whole {
        /// The inventory.
        snapshot: Snapshot,
    },
}
