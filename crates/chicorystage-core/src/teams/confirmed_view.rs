use crate::store_era::StoreEra;

/// Time within which the operator writes the configuration again after the store has returned from an
/// older copy, in milliseconds.
const REWRITE_MS: u64 = 3_000;
/// Part of the largest age beyond which new connections had better go elsewhere, in percent.
const AGING_PERCENT: u64 = 80;

/// How old the configuration in force may be.
///
/// A withdrawn key is in no configuration that was read after its withdrawal. So a request may be
/// admitted if the configuration was confirmed as the newest at a time that lies no further back than
/// the withdrawal may take. Times are on a clock that goes on while the VM is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfirmedView {
    /// Start of the last read that showed that the configuration in force was the newest.
    confirmed_ms: Option<u64>,
}

impl ConfirmedView {
    /// Records that a read which began at `began_ms`, in this era of the store, was answered, and what it
    /// brought is in force.
    ///
    /// The store may have answered at any moment from then on. A read of a store that has returned from an
    /// older copy lately confirms nothing: a withdrawal since the copy was taken may be missing.
    pub fn confirm(&mut self, began_ms: u64, era: &StoreEra) {
        if !era.had_lasted(began_ms, REWRITE_MS) {
            return;
        }
        self.confirmed_ms = Some(
            self.confirmed_ms
                .map_or(began_ms, |known| known.max(began_ms)),
        );
    }

    /// Returns for how long no read can confirm the configuration yet, in milliseconds; `None` if it was
    /// confirmed in this era of the store.
    #[must_use]
    pub fn unconfirmed_left_ms(&self, now_ms: u64, era: &StoreEra) -> Option<u64> {
        let is_confirmed = self
            .confirmed_ms
            .is_some_and(|confirmed_ms| era.had_lasted(confirmed_ms, REWRITE_MS));
        (!is_confirmed).then(|| era.left_ms(now_ms, REWRITE_MS))
    }

    /// Returns for how long the configuration may have been out of date, in milliseconds; `None` if it
    /// was never confirmed.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.confirmed_ms?))
    }

    /// Returns whether requests with keys may be admitted if a withdrawal may take `revoke_max_ms`.
    #[must_use]
    pub fn admits(&self, now_ms: u64, revoke_max_ms: u64) -> bool {
        self.age_ms(now_ms)
            .is_some_and(|age_ms| age_ms < revoke_max_ms)
    }

    /// Returns whether new connections had better go to other gateways, as requests with keys will soon
    /// be refused here.
    #[must_use]
    pub fn is_aging(&self, now_ms: u64, revoke_max_ms: u64) -> bool {
        !self.admits(now_ms, revoke_max_ms * AGING_PERCENT / 100)
    }
}
