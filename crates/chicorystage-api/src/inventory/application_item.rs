use serde::{Deserialize, Serialize};

use crate::inventory::Operation;
use crate::name::{ApplicationName, GroupName, OwnerName};

/// A plain service beside the model engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplicationItem {
    /// Name of the service.
    pub name: ApplicationName,
    /// Unit that owns the service.
    pub owner: OwnerName,
    /// Group of endpoints that run it.
    pub group: GroupName,
    /// Calls that it offers; any other call counts as not idempotent.
    pub operations: Vec<Operation>,
}

impl ApplicationItem {
    /// Returns whether a call may be repeated without a second effect.
    ///
    /// The longest matching prefix of the same method decides. A call that
    /// matches no operation is treated as not idempotent, the safe answer.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        self.operations
            .iter()
            .filter(|operation| {
                &*operation.method == method && path.starts_with(&*operation.path_prefix)
            })
            .max_by_key(|operation| operation.path_prefix.len())
            .is_some_and(|operation| operation.idempotent)
    }
}
