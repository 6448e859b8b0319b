use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Precondition of a transaction on the version of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row that is checked.
    pub key: Arc<str>,
    /// Version that the row must have; `None` if the row must be absent.
    pub version: Option<u64>,
}
