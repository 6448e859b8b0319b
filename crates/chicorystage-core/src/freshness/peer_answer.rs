use chicorystage_api::name::VmId;

/// The answer of another router to a query for its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAnswer {
    /// Router that answered.
    pub vm: VmId,
    /// Time at which the query was sent, in milliseconds of the local clock.
    pub query_sent_ms: u64,
    /// Revision in force at that router.
    pub revision: u64,
    /// Age of that router's last confirmation of the head, in milliseconds; `u64::MAX` if it has none.
    pub confirmed_age_ms: u64,
}
