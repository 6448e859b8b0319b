use serde::{Deserialize, Serialize};

use crate::inventory::Class;
use crate::name::{ApplicationName, CallerName, Digest, ModelName, OwnerName};

/// A calling application with its rights and limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerItem {
    /// Name of the caller; also its tenant name in metrics.
    pub name: CallerName,
    /// Organisational unit that owns the caller.
    pub owner: OwnerName,
    /// SHA-256 digest of the caller's bearer token.
    pub token_sha256: Digest,
    /// Priority class of requests that name none, and the highest class that a request may name.
    pub class: Class,
    /// Models that the caller may use, adapters included; `*` means all.
    pub models: Vec<ModelName>,
    /// Plain services that the caller may use; `*` means all.
    pub applications: Vec<ApplicationName>,
    /// Sustained requests per second at one router.
    pub rate_per_s: u32,
    /// Capacity of the caller's token bucket at one router, in requests.
    pub burst: u32,
    /// Largest number of requests in progress at one router.
    pub concurrent_max: u32,
    /// Largest request body, in bytes.
    pub body_bytes_max: u64,
    /// Weight of the caller's share of the capacity under overload, relative to other callers.
    pub weight: u32,
}
