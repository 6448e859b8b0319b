use chicorystage_api::name::VmId;

/// The chosen endpoint, with its estimated wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenEndpoint {
    /// VM of the endpoint.
    pub vm: VmId,
    /// Estimated wait at the endpoint before the request runs, in milliseconds.
    pub estimated_wait_ms: u64,
}
