use serde::{Deserialize, Serialize};

use crate::inventory::Class;
use crate::name::{ApplicationName, CallerName, Digest, ModelName, OwnerName};

/// A calling application, its rights and its limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerItem {
    /// Name of the caller; also its tenant name in metrics.
    pub name: CallerName,
    /// Unit that owns the caller.
    pub owner: OwnerName,
    /// SHA-256 digest of its bearer token.
    pub token_sha256: Digest,
    /// Class used where a request names none, and the highest it may name.
    pub class: Class,
    /// Models it may call, adapters included; `*` stands for all.
    pub models: Vec<ModelName>,
    /// Plain services it may call; `*` stands for all.
    pub applications: Vec<ApplicationName>,
    /// Sustained requests per second.
    pub rate_per_s: u32,
    /// Requests that may arrive at once above the sustained rate.
    pub burst: u32,
    /// Requests in progress at one router.
    pub concurrent_max: u32,
    /// Largest request body, in bytes.
    pub body_bytes_max: u64,
    /// Weight of its share under overload.
    pub weight: u32,
}
