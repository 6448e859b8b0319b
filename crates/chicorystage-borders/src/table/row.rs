use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One row as read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: Arc<str>,
    /// Commit number of the transaction that wrote it.
    pub version: u64,
    /// Content.
    pub value: Arc<str>,
}
