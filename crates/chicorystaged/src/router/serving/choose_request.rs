use chicorystage_api::name::{GroupName, ModelName, VmId};

/// The criteria by which the main loop chooses a VM for an attempt.
#[derive(Clone, Debug)]
pub struct ChooseRequest {
    /// Group of endpoints that can run the work.
    pub group: GroupName,
    /// Model that the work needs; `None` for a service.
    pub model: Option<ModelName>,
    /// VMs that earlier attempts of the request failed on or could not reach.
    pub avoid: Vec<VmId>,
    /// Whether a VM in `avoid` may be chosen if there is no other.
    pub allow_avoided: bool,
    /// Key of the prompt's prefix; `None` if the prompt is too short.
    pub prefix_key: Option<u64>,
    /// Reading of the router's clock at the caller's deadline, in milliseconds.
    pub deadline_ms: u64,
}
