use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::table::Row;

/// One page of a scan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanPage {
    /// Newest commit number of the table when the page was read.
    pub table_version: u64,
    /// Rows in order of their keys.
    pub rows: Vec<Row>,
    /// Key after which the next page begins; none on the last page.
    pub next_after: Option<Arc<str>>,
}
