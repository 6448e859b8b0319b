use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::table::Row;

/// One page of a scan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanPage {
    /// Highest commit number of the table when the page was read.
    pub table_version: u64,
    /// Rows, sorted by key.
    pub rows: Vec<Row>,
    /// Key after which the next page begins; `None` on the last page.
    pub next_after: Option<Arc<str>>,
}
