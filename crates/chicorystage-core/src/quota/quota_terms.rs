use crate::quota::seconds;
use crate::teams::Quota;

/// Part of what all gateways together may exceed a quota by that they aim at.
///
/// What a gateway knows of the others is late, so that they miss their aim to either side: too few
/// units refuse what is within the quota, too many exceed what is tolerated.
const AIMED_PART: f64 = 0.4;

/// When a quota counts as kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTerms {
    /// Length of the windows in which quotas hold, in milliseconds.
    pub window_ms: u64,
    /// Part of a window's units by which all gateways together may exceed it.
    pub tolerance: f64,
    /// Units beyond that part.
    pub allowance: f64,
}

impl QuotaTerms {
    /// Returns the units that gateways admit in a window.
    #[must_use]
    pub fn units(&self, quota: &Quota) -> f64 {
        let promised = quota.per_s * seconds(0, self.window_ms) + quota.burst;
        promised + AIMED_PART * (promised * self.tolerance + self.allowance)
    }
}
