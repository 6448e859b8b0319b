use serde::{Deserialize, Serialize};

use crate::name::{Digest, IdempotencyKey};

/// A claim on an idempotency key, committed in the table before the call is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTicket {
    /// Caller's idempotency key.
    pub key: IdempotencyKey,
    /// Digest of method, path and body.
    pub body_sha256: Digest,
    /// Epoch of the claim, counted from 1; a higher one replaces a tombstoned claim.
    pub epoch: u32,
    /// The only agent incarnation that may run this epoch.
    pub incarnation: u64,
    /// Table version of the claim row; increases with every committed claim.
    pub row_version: u64,
}
