use chicorystage_api::inventory::Class;
use chicorystage_api::name::{Digest, IdempotencyKey};

/// The metadata of a caller's request: credentials, deadline, class and key.
#[derive(Clone, Debug)]
pub struct CallerHead {
    /// SHA-256 digest of the bearer token, by which the caller is identified.
    pub token_sha256: Digest,
    /// Requested timeout, in milliseconds; `None` for the default.
    pub timeout_ms: Option<u64>,
    /// Requested priority class; `None` for the caller's own class.
    pub class: Option<Class>,
    /// Idempotency key, required for a call that is not idempotent.
    pub key: Option<IdempotencyKey>,
}
