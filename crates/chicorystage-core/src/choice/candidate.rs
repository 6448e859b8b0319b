use chicorystage_api::name::VmId;

/// An endpoint that is eligible for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// VM of the endpoint.
    pub vm: VmId,
    /// Whether it is in the router's availability zone.
    pub same_zone: bool,
}
