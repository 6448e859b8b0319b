use chicorystage_api::name::{CallerName, Digest, IdempotencyKey, RequestId};

/// A call that is not idempotent, identified by its caller's idempotency key.
#[derive(Clone, Debug)]
pub struct ClaimedCall {
    /// Caller who owns the key; keys of different callers are independent.
    pub caller: CallerName,
    /// Idempotency key, the same in every resend of the call.
    pub key: IdempotencyKey,
    /// Digest of method, path and body; a resend with another digest is refused.
    pub body_sha256: Digest,
    /// Request that carries the call; each resend has its own id.
    pub request_id: RequestId,
}
