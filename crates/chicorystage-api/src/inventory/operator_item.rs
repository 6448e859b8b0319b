use serde::{Deserialize, Serialize};

use crate::name::{Digest, OperatorName, OwnerName};

/// A person or program that changes the inventory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorItem {
    /// Name of the operator.
    pub name: OperatorName,
    /// SHA-256 digest of the operator's bearer token.
    pub token_sha256: Digest,
    /// Units whose items the operator may change; `*` stands for all and for
    /// the deployment's policy and operators.
    pub owners: Vec<OwnerName>,
}
