use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One row that a transaction writes or deletes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Row that is written.
    pub key: Arc<str>,
    /// New content; none deletes the row.
    pub value: Option<Arc<str>>,
}
