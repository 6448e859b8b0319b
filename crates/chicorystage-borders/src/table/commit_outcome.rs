use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Outcome of a transaction that the table answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum CommitOutcome {
    /// Every check passed and every write was applied.
    Applied {
        /// Commit number, which is the version of each row written.
        version: u64,
    },
    /// A check failed and nothing was written.
    Conflict {
        /// Keys of the rows whose checks failed.
        keys: Vec<Arc<str>>,
    },
}
