use serde::{Deserialize, Serialize};

use crate::peer::PlacementRow;

/// A placement row with the table version at which it was read or written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementPush {
    /// Table version of the row; increases with every write of the row.
    pub row_version: u64,
    /// Content of the row at that version.
    pub row: PlacementRow,
}
