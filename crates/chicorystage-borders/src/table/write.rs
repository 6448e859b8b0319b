use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One row that a transaction writes or deletes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row that is written.
    pub key: Arc<str>,
    /// New content; `None` deletes the row.
    pub value: Option<Arc<str>>,
}
