use serde::{Deserialize, Serialize};

use crate::name::{Digest, IdempotencyKey};

/// A claim committed in the table before dispatch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTicket {
    /// Caller's idempotency key.
    pub key: IdempotencyKey,
    /// Digest of method, path and body.
    pub body_sha256: Digest,
    /// Epoch of the claim, counted from 1; a higher one replaces a tombstoned claim.
    pub epoch: u32,
    /// Agent incarnation that alone may run this epoch.
    pub incarnation: u64,
    /// Table version of the claim row; rises with every claim that is committed.
    pub row_version: u64,
}
