use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::name::Digest;

/// A decision on a digest whose requests may have crashed endpoints.
///
/// An entry that is not `active` marks a suspect if `crashes` is above 0. Otherwise the digest was
/// cleared, or an operator lifted its quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// Digest of the work, as in [`AttemptRequest`](crate::work::AttemptRequest).
    pub digest: Digest,
    /// Whether the digest is quarantined, so that requests with it are refused.
    pub active: bool,
    /// Number of times that an endpoint crashed while it ran the digest, alone or among others.
    pub crashes: u32,
    /// Reason for the decision, for people to read.
    pub reason: Arc<str>,
    /// Wall-clock time of the decision, in milliseconds since the Unix epoch.
    pub decided_unix_ms: u64,
}
