use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Row that is checked.
    pub key: Arc<str>,
    /// Version that it must have; none where it must be absent.
    pub version: Option<u64>,
}
