use serde::{Deserialize, Serialize};

use crate::name::{VmId, ZoneName};

/// State of a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterStatus {
    /// VM of the router.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Inventory revision in force.
    pub revision: u64,
    /// Age of the last confirmation of the head, in milliseconds; `u64::MAX` for none.
    pub confirmed_age_ms: u64,
    /// Whether the router admits requests.
    pub ready: bool,
    /// Whether the router is draining and will leave the deployment.
    pub leaving: bool,
    /// Whether the last read of the table succeeded.
    pub table_up: bool,
    /// Number of requests in progress.
    pub in_progress: u32,
    /// Number of quarantined digests.
    pub quarantined: u32,
}
