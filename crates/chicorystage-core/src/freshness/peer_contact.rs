use chicorystage_api::name::VmId;

/// A peer's answer about its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerContact {
    /// Router that answered.
    pub vm: VmId,
    /// Time at which it was asked, in milliseconds.
    pub asked_ms: u64,
    /// Revision in force there.
    pub revision: u64,
    /// Age of its last confirmation of the head; `u64::MAX` where it has none.
    pub confirmed_age_ms: u64,
}
