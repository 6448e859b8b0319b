use serde::{Deserialize, Serialize};

use crate::inventory::Operation;
use crate::name::{ApplicationName, GroupName, OwnerName};

/// A plain HTTP service that runs beside the model engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplicationItem {
    /// Name of the service.
    pub name: ApplicationName,
    /// Organisational unit that owns the service.
    pub owner: OwnerName,
    /// Group of the endpoints that run the service.
    pub group: GroupName,
    /// Operations that the service offers; any other call counts as not idempotent.
    pub operations: Vec<Operation>,
}

impl ApplicationItem {
    /// Returns whether a call may be repeated without a second effect.
    ///
    /// Among the operations with the same method, the one with the longest
    /// matching prefix decides. A call that matches none is treated as not
    /// idempotent, which is always safe.
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
