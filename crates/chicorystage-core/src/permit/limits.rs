use chicorystage_api::inventory::PolicyItem;
use chicorystage_api::peer::PermitKind;

/// Limits on concurrent and starting fetches from the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitLimits {
    /// Maximum number of concurrent model loads.
    pub loads_concurrent_max: u32,
    /// Maximum number of model loads that start in one second.
    pub loads_per_s_max: u32,
    /// Maximum number of concurrent adapter fetches.
    pub adapter_fetches_max: u32,
}

impl PermitLimits {
    /// Reads the limits from the deployment's policy.
    #[must_use]
    pub fn from_policy(policy: &PolicyItem) -> Self {
        Self {
            loads_concurrent_max: policy.loads_concurrent_max,
            loads_per_s_max: policy.loads_per_s_max,
            adapter_fetches_max: policy.adapter_fetches_max,
        }
    }

    /// Returns the maximum number of outstanding permits of a kind.
    #[must_use]
    pub fn concurrent_max(&self, kind: PermitKind) -> usize {
        let limit = match kind {
            PermitKind::Model => self.loads_concurrent_max,
            PermitKind::Adapter => self.adapter_fetches_max,
        };
        usize::try_from(limit).unwrap_or(usize::MAX)
    }
}
