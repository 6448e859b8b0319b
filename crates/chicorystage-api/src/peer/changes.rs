use serde::{Deserialize, Serialize};

use crate::inventory::{ChangeRecord, Snapshot};
use crate::name::VmId;

/// A long poll for inventory changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesQuery {
    /// VM that sends the query.
    pub vm: VmId,
    /// Revision in force at the sender; 0 if it has none.
    pub since_revision: u64,
    /// Longest time to keep the poll open, in milliseconds.
    pub wait_ms: u64,
}

/// Answer to a [`ChangesQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Changes {
    /// No newer revision was committed within the wait.
    Unchanged,
    /// All records after the sender's revision, oldest first.
    Tail {
        /// Records with consecutive revisions.
        records: Vec<ChangeRecord>,
    },
    /// The sender is so far behind that the log no longer has all records it needs.
    Whole {
        /// The whole inventory in force.
        snapshot: Snapshot,
    },
}
