use std::collections::HashMap;

use chicorystage_api::name::CallerName;

use crate::queue::LEAD_MAX;

/// Units in which one attempt of weight 1 is counted, so that integer division by a weight stays
/// accurate.
const ATTEMPT_UNITS: u64 = 1 << 20;

/// Returns the units that one attempt counts for a caller of that weight.
pub(crate) fn attempt_units(weight: u32) -> u64 {
    ATTEMPT_UNITS / u64::from(weight.max(1))
}

/// Attempts that each caller has been served, divided by its weight.
///
/// A caller that returns after a pause starts at the smallest share of the callers in the queue,
/// so that idle callers do not accumulate credit.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    served: HashMap<CallerName, u64>,
}

impl Shares {
    /// Counts one served attempt for a caller.
    pub(crate) fn count(&mut self, caller: &CallerName, weight: u32) {
        let served = self.served.entry(caller.clone()).or_default();
        *served = served.saturating_add(attempt_units(weight));
    }

    /// Raises a caller that joins the queue to the smallest share of the callers in it.
    pub(crate) fn join<'a>(
        &mut self,
        caller: &CallerName,
        waiting: impl Iterator<Item = &'a CallerName>,
    ) {
        let least = self.least(waiting);
        let served = self.served.entry(caller.clone()).or_default();
        *served = (*served).max(least);
    }

    /// Resets all shares, once the queue is empty.
    pub(crate) fn clear(&mut self) {
        self.served.clear();
    }

    /// Returns the largest share with which a caller is eligible.
    pub(crate) fn limit<'a>(&self, waiting: impl Iterator<Item = &'a CallerName>) -> u64 {
        self.least(waiting).saturating_add(LEAD_MAX * ATTEMPT_UNITS)
    }

    /// Returns the share of a caller; 0 for a caller without served attempts.
    pub(crate) fn share_of(&self, caller: &CallerName) -> u64 {
        self.served.get(caller).copied().unwrap_or(0)
    }

    fn least<'a>(&self, waiting: impl Iterator<Item = &'a CallerName>) -> u64 {
        waiting
            .map(|caller| self.share_of(caller))
            .min()
            .unwrap_or(0)
    }
}
