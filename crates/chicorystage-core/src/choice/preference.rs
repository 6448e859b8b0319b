use chicorystage_api::name::VmId;

/// The endpoint that a choice fell on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Preference {
    /// VM of the endpoint.
    pub vm: VmId,
    /// Estimated wait there before the request runs, in milliseconds.
    pub estimated_wait_ms: u64,
}
