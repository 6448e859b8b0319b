use chicorystage_api::name::{CallerName, Digest, IdempotencyKey, RequestId};

/// One call that is not idempotent.
#[derive(Clone, Debug)]
pub struct ClaimedCall {
    /// Caller who owns the key.
    pub caller: CallerName,
    /// Caller's idempotency key.
    pub key: IdempotencyKey,
    /// Digest of method, path and body.
    pub body_sha256: Digest,
    /// Request that makes the call.
    pub request_id: RequestId,
}
