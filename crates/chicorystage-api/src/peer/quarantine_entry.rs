use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::name::Digest;

/// A request digest that crashed endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// Digest of the work.
    pub digest: Digest,
    /// Whether the digest is quarantined; false lifts the quarantine.
    pub active: bool,
    /// Crashes seen.
    pub crashes: u32,
    /// Why, for a person.
    pub reason: Arc<str>,
    /// Wall-clock time of the decision, in milliseconds since the Unix epoch.
    pub decided_unix_ms: u64,
}
