use chicorystage_api::inventory::PolicyItem;
use chicorystage_api::peer::PermitKind;

/// Limits under which permits are granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitLimits {
    /// Model loads at once.
    pub loads_concurrent_max: u32,
    /// Model loads started per second.
    pub loads_per_s_max: u32,
    /// Adapter fetches at once.
    pub adapter_fetches_max: u32,
}

impl PermitLimits {
    /// Takes the limits from the deployment's policy.
    #[must_use]
    pub fn from_policy(policy: &PolicyItem) -> Self {
        Self {
            loads_concurrent_max: policy.loads_concurrent_max,
            loads_per_s_max: policy.loads_per_s_max,
            adapter_fetches_max: policy.adapter_fetches_max,
        }
    }

    /// Returns how many permits of a kind may be out at once.
    #[must_use]
    pub fn concurrent_max(&self, kind: PermitKind) -> usize {
        let limit = match kind {
            PermitKind::Model => self.loads_concurrent_max,
            PermitKind::Adapter => self.adapter_fetches_max,
        };
        usize::try_from(limit).unwrap_or(usize::MAX)
    }
}
