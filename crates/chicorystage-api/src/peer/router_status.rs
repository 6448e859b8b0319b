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
    /// Age of the last confirmation of the head, in milliseconds.
    pub confirmed_age_ms: u64,
    /// Whether the router admits requests.
    pub ready: bool,
    /// Whether the router is leaving.
    pub leaving: bool,
    /// Whether the last read of the table succeeded.
    pub table_up: bool,
    /// Requests in progress.
    pub in_progress: u32,
    /// Digests in quarantine.
    pub quarantined: u32,
}
