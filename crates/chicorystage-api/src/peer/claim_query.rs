use serde::{Deserialize, Serialize};

use crate::name::{CallerName, IdempotencyKey};

/// A query for the state of a claim, sent to the agent that the claim names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimQuery {
    /// Caller that chose the key.
    pub caller: CallerName,
    /// Idempotency key of the claim.
    pub key: IdempotencyKey,
    /// Epoch of the claim, counted from 1.
    pub epoch: u32,
    /// Agent incarnation named by the claim.
    pub incarnation: u64,
    /// Table version of the claim row.
    pub row_version: u64,
}
