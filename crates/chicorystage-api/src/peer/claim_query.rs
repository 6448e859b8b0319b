use serde::{Deserialize, Serialize};

use crate::name::{CallerName, IdempotencyKey};

/// Asks an agent what became of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimQuery {
    /// Caller who owns the key.
    pub caller: CallerName,
    /// Key of the claim.
    pub key: IdempotencyKey,
    /// Epoch of the claim.
    pub epoch: u32,
    /// Incarnation named by the claim.
    pub incarnation: u64,
    /// Table version of the claim row.
    pub row_version: u64,
}
