use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Known result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum CommitOutcome {
    /// Every check held and every write is in force.
    Applied {
        /// Commit number, the version of the rows written.
        version: u64,
    },
    /// A check failed and nothing was written.
    Conflict {
        /// Keys whose checks failed.
        keys: Vec<Arc<str>>,
    },
}
