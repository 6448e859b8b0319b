use std::collections::HashMap;

use chicorystage_api::name::CallerName;

use crate::queue::LEAD_MAX;

/// Parts of one attempt in which shares are counted, so that weights divide evenly enough.
const ATTEMPT_UNITS: u64 = 1 << 20;

/// Returns the share that one attempt of a caller of that weight counts.
pub(crate) fn share_of_one(weight: u32) -> u64 {
    ATTEMPT_UNITS / u64::from(weight.max(1))
}

/// Attempts that each caller has had, divided by its weight.
///
/// A caller that comes back after a while starts at the smallest share of
/// those that wait, so that nobody saves up a claim.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    had: HashMap<CallerName, u64>,
}

impl Shares {
    /// Counts one attempt for a caller.
    pub(crate) fn count(&mut self, caller: &CallerName, weight: u32) {
        let had = self.had.entry(caller.clone()).or_default();
        *had = had.saturating_add(share_of_one(weight));
    }

    /// Enters a caller that has begun to wait beside the others.
    pub(crate) fn enter<'a>(
        &mut self,
        caller: &CallerName,
        waiting: impl Iterator<Item = &'a CallerName>,
    ) {
        let least = self.least(waiting);
        let had = self.had.entry(caller.clone()).or_default();
        *had = (*had).max(least);
    }

    /// Forgets everyone where nobody waits.
    pub(crate) fn clear(&mut self) {
        self.had.clear();
    }

    /// Returns the share up to which callers may go by deadline alone.
    pub(crate) fn limit<'a>(&self, waiting: impl Iterator<Item = &'a CallerName>) -> u64 {
        self.least(waiting).saturating_add(LEAD_MAX * ATTEMPT_UNITS)
    }

    /// Returns the share of a caller.
    pub(crate) fn of(&self, caller: &CallerName) -> u64 {
        self.had.get(caller).copied().unwrap_or(0)
    }

    fn least<'a>(&self, waiting: impl Iterator<Item = &'a CallerName>) -> u64 {
        waiting.map(|caller| self.of(caller)).min().unwrap_or(0)
    }
}
