use serde::{Deserialize, Serialize};

use crate::name::{Digest, OperatorName, OwnerName};

/// A person or program that changes the inventory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorItem {
    /// Name of the operator.
    pub name: OperatorName,
    /// SHA-256 digest of the operator's bearer token.
    pub token_sha256: Digest,
    /// Organisational units whose items the operator may change; `*` means all
    /// items, including the deployment's policy and its operators.
    pub owners: Vec<OwnerName>,
}
