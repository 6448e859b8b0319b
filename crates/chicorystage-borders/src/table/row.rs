use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One row of the table as it was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key, unique in the table.
    pub key: Arc<str>,
    /// Commit number of the transaction that last wrote the row.
    pub version: u64,
    /// Content, opaque to the table.
    pub value: Arc<str>,
}
