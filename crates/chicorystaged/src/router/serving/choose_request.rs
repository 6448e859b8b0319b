use chicorystage_api::name::{GroupName, ModelName, VmId};

/// An admitted request that asks where to run.
#[derive(Clone, Debug)]
pub struct ChooseRequest {
    /// Group of endpoints that can run it.
    pub group: GroupName,
    /// Model that it needs; none for a plain service.
    pub model: Option<ModelName>,
    /// VMs already tried in vain.
    pub avoid: Vec<VmId>,
    /// Whether a VM to avoid may be used where there is no other.
    pub again: bool,
    /// Key of the prompt's prefix, where it is long enough.
    pub prefix_key: Option<u64>,
    /// Reading of the router's clock at the caller's deadline, in milliseconds.
    pub deadline_ms: u64,
}
