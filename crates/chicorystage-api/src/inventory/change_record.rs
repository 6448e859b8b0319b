use serde::{Deserialize, Serialize};

use crate::inventory::ItemChange;
use crate::name::{ChangeId, OperatorName};

/// An accepted change as kept in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Revision that the change made.
    pub revision: u64,
    /// Identity chosen by the submitter.
    pub change_id: ChangeId,
    /// Operator who submitted it.
    pub operator: OperatorName,
    /// Wall-clock time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// Why the change was made.
    pub reason: String,
    /// Items written or deleted.
    pub items: Vec<ItemChange>,
}
