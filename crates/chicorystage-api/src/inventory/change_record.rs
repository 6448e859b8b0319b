use serde::{Deserialize, Serialize};

use crate::inventory::ItemChange;
use crate::name::{ChangeId, OperatorName};

/// A committed change, as stored in the change log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Inventory revision that the change produced.
    pub revision: u64,
    /// Identifier chosen by the submitter.
    pub change_id: ChangeId,
    /// Operator who submitted the change.
    pub operator: OperatorName,
    /// Wall-clock time at which a router committed the change, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// Reason given by the submitter; may be empty.
    pub reason: String,
    /// Items written or deleted.
    pub items: Vec<ItemChange>,
}
