use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::name::Digest;

/// Quarantine decision on the digest of a request that crashed endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// Digest of the work.
    pub digest: Digest,
    /// Whether the digest is quarantined; `false` lifts the quarantine.
    pub active: bool,
    /// Number of crashes attributed to the digest.
    pub crashes: u32,
    /// Reason for the decision, for people to read.
    pub reason: Arc<str>,
    /// Wall-clock time of the decision, in milliseconds since the Unix epoch.
    pub decided_unix_ms: u64,
}
