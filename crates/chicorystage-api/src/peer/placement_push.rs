use serde::{Deserialize, Serialize};

use crate::peer::PlacementRow;

/// A placement row with the table version at which it was read or written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementPush {
    /// Table version of the row; rises with every write of it.
    pub row_version: u64,
    /// The row.
    pub row: PlacementRow,
}
