//! What a gateway knows of the store's era, and what it forgets when a new one begins.
//!
//! A table that is read in a new era shows a copy at first: rows that were written since it was taken are
//! missing until their writers write them again. This holds for a gateway that starts, too, although it
//! sees only one era. So each conclusion that needs a recent row asks the [era](StoreEra) for how long it
//! has lasted.

use chicorystage_core::registry::shows_live_endpoints;
use chicorystage_core::store_era::StoreEra;
use chicorystage_platform::store::StorePosition;

use crate::gateway::shared::Gateway;
use crate::timer::boot_ms;

impl Gateway {
    /// Returns the newest known era of the store; its times are on the VM's boot clock.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        self.store_era.get().unwrap_or_default()
    }

    /// Records an era of the store that was seen in an answer.
    pub fn observe_era(&self, number: u64) {
        self.observe_era_at(number, boot_ms());
    }

    /// Records that the store was in an era at a time on the VM's boot clock, in milliseconds.
    pub(super) fn observe_era_at(&self, number: u64, at_boot_ms: u64) {
        let previous = self.store_era.get();
        let mut era = previous.unwrap_or_default();
        let is_newer = era.observe(number, at_boot_ms);
        self.store_era.set(Some(era));
        self.metrics.set_store_era(era.number());
        self.lease(|lease| lease.observe_era(era));
        if previous.is_none() || is_newer {
            log::info!(
                event = "store_era", era = era.number(), previous:? = previous.map(|known| known.number()),
                age_ms:? = era.age_ms(boot_ms());
                "store is in this era"
            );
        }
        if previous.is_some() && is_newer {
            self.forget_versions();
        }
    }

    /// Returns whether the endpoints that this gateway knows include each live one.
    ///
    /// They may not for a moment after the store has returned from an older copy.
    #[must_use]
    pub(super) fn knows_live_endpoints(&self) -> bool {
        shows_live_endpoints(&self.era(), self.registry_read_boot_ms.get())
    }

    /// Returns the position of a version in the newest known era of the store.
    #[must_use]
    pub fn position(&self, version: u64) -> StorePosition {
        StorePosition {
            era: self.era().number(),
            version,
        }
    }

    /// Forgets the versions of rows of the last era, which may be those of other rows now, keeps what the
    /// store may lack, and has the tables read again.
    fn forget_versions(&self) {
        self.lease(|lease| lease.store_restored(boot_ms()));
        self.with(|view| view.software.store_restored());
        self.own_row_version.set(0);
        self.software_rows.store_restored();
        self.stream_rows.store_restored();
        self.store_regained.notify_waiters();
    }
}
