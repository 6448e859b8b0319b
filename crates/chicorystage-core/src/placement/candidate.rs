use chicorystage_api::name::{VmId, ZoneName};

use crate::placement::CacheTier;

/// A VM that is eligible for a slot, with the facts that rank it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Identity of the VM.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Nearest cache tier of the model on the VM.
    pub cache_tier: CacheTier,
    /// Accelerator memory not reserved by loaded replicas, in bytes; `None` if unknown.
    pub memory_free_bytes: Option<u64>,
}
