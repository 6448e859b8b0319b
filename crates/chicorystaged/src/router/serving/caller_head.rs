use chicorystage_api::inventory::Class;
use chicorystage_api::name::{Digest, IdempotencyKey};

/// What a caller says about a request beside its work.
#[derive(Clone, Debug)]
pub struct CallerHead {
    /// Digest of the bearer token.
    pub token_sha256: Digest,
    /// Time that the caller gives the request, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Class that the caller asks for.
    pub class: Option<Class>,
    /// Idempotency key.
    pub key: Option<IdempotencyKey>,
}
