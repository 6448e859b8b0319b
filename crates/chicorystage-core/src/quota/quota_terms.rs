use crate::quota::seconds;
use crate::teams::Quota;

/// Part of what all gateways together may exceed a quota by that they aim at.
///
/// What a gateway knows of the others is late, so that they miss their aim to either side: too few
/// units refuse what is within the quota, too many exceed what is tolerated.
const AIMED_PART: f64 = 0.3;

/// When a quota counts as kept: in any window, a team gets no more than the units that accrue in it, its
/// burst, and what is tolerated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTerms {
    /// Length of the windows, in milliseconds.
    pub window_ms: u64,
    /// Part of a window's units by which all gateways together may exceed it.
    pub tolerance: f64,
    /// Units beyond that part.
    pub allowance: f64,
}

impl QuotaTerms {
    /// Returns the units a second that gateways admit.
    #[must_use]
    pub fn per_s(&self, quota: &Quota) -> f64 {
        let window_s = seconds(0, self.window_ms);
        let promised = quota.per_s * window_s + quota.burst;
        let tolerated = promised * self.tolerance + self.allowance;
        quota.per_s + AIMED_PART * tolerated / window_s
    }

    /// Returns the units that a team may get in any window.
    #[must_use]
    pub fn units_max(&self, quota: &Quota) -> f64 {
        let promised = quota.per_s * seconds(0, self.window_ms) + quota.burst;
        promised * (1.0 + self.tolerance) + self.allowance
    }
}
