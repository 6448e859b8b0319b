use chicorystage_api::name::VmId;

use crate::lease::claim_after_restore::ClaimAfterRestore;
use crate::lease::epochs::least_epoch;
use crate::lease::last_use::LastUse;
use crate::lease::{LeaseAction, LeaseRow, StoreReply};
use crate::store_era::StoreEra;

/// Number of renewals within the duration of the lease.
const RENEWALS_PER_LEASE: u64 = 3;
/// Interval between two ticks above which the process counts as paused, in milliseconds.
const TICK_INTERVAL_MAX_MS: u64 = 700;
/// Additional wait of a take-over after the duration of the lease, in milliseconds.
const TAKE_OVER_MARGIN_MS: u64 = 300;

/// One router's view of the lease, which decides when to acquire, renew and use it.
#[derive(Clone, Debug)]
pub struct OrderLease {
    vm: VmId,
    incarnation: u64,
    lease_ms: u64,
    /// Whether endpoints refuse orders of an old epoch.
    endpoints_check_epoch: bool,
    /// Additional time for which a lease must be free before this router acquires it.
    acquisition_delay_ms: u64,
    /// Newest known row, with its version; `None` if the store has no row.
    known: Option<(LeaseRow, u64)>,
    /// Whether the store was read successfully.
    is_read: bool,
    /// Time at which this router observed the last change of the row.
    changed_ms: u64,
    /// Time at which the last successful write was sent; `None` if this router must not use the
    /// lease.
    renewed_ms: Option<u64>,
    /// Time at which a write without a conclusive reply was sent.
    write_sent_ms: Option<u64>,
    ticked_ms: Option<u64>,
    last_use: LastUse,
    /// Whether a successful write is required before the next order.
    needs_confirmation: bool,
    /// Highest epoch observed in the store, at an endpoint or at another router.
    highest_epoch: u64,
    /// What this router may claim of a row that the store has restored.
    claim: ClaimAfterRestore,
    /// Newest known era of the store.
    era: StoreEra,
}

impl OrderLease {
    /// Creates the view of a process that does not hold the lease.
    #[must_use]
    pub fn new(vm: VmId, incarnation: u64, lease_ms: u64, endpoints_check_epoch: bool) -> Self {
        Self {
            vm,
            incarnation,
            lease_ms,
            endpoints_check_epoch,
            acquisition_delay_ms: 0,
            known: None,
            is_read: false,
            changed_ms: 0,
            renewed_ms: None,
            write_sent_ms: None,
            ticked_ms: None,
            last_use: LastUse::default(),
            needs_confirmation: false,
            highest_epoch: 0,
            claim: ClaimAfterRestore::Normal,
            era: StoreEra::default(),
        }
    }

    /// Delays the acquisition of a free lease, so that routers on larger VMs acquire it first.
    #[must_use]
    pub fn with_acquisition_delay_ms(mut self, delay_ms: u64) -> Self {
        self.acquisition_delay_ms = delay_ms;
        self
    }

    /// Records the stored row and its version as read; `None` means that no row exists.
    pub fn apply_row(&mut self, now_ms: u64, row: Option<(LeaseRow, u64)>) {
        let is_first = !self.is_read;
        self.is_read = true;
        self.last_use.lease_read(now_ms);
        let Some((row, version)) = row else {
            if is_first {
                self.changed_ms = now_ms;
            }
            return;
        };
        let is_newer = self
            .known
            .as_ref()
            .is_none_or(|(_, known)| version > *known);
        if !is_newer && !is_first {
            return;
        }
        self.observe_epoch(row.epoch);
        self.changed_ms = now_ms;
        if !self.is_own(&row) {
            self.renewed_ms = None;
            if !is_first {
                // Another router writes the restored row, so the row tells who holds the lease.
                self.claim = ClaimAfterRestore::Normal;
            }
        }
        self.known = Some((row, version));
    }

    /// Records the store's era, before the first row of that era.
    ///
    /// Its times are on the clock of [`Self::tick`].
    pub fn observe_era(&mut self, era: StoreEra) {
        self.era.merge(era);
    }

    /// Records that the store has returned from an older copy.
    ///
    /// Rows and versions known from before may be lost. The row is read again, and the holder
    /// confirms or acquires the lease before its next order.
    pub fn store_restored(&mut self, now_ms: u64) {
        self.claim = self.claim_after_restore(now_ms);
        self.known = None;
        self.is_read = false;
        self.renewed_ms = None;
        self.write_sent_ms = None;
    }

    /// Records an epoch observed at an endpoint or another router.
    ///
    /// An epoch above the own one ends this router's use of the lease.
    pub fn observe_epoch(&mut self, epoch: u64) {
        self.highest_epoch = self.highest_epoch.max(epoch);
        let own_epoch = self.own_row().map(|row| row.epoch);
        if own_epoch.is_some_and(|own| own < self.highest_epoch) {
            self.renewed_ms = None;
        }
    }

    /// Returns the highest epoch observed in the store, at an endpoint or at another router.
    #[must_use]
    pub fn highest_epoch(&self) -> u64 {
        self.highest_epoch
    }

    /// Advances the time and returns the write that is due, if any.
    ///
    /// `now_ms` is read from a clock that also advances while the process or VM is paused.
    pub fn tick(&mut self, now_ms: u64) -> Option<LeaseAction> {
        let paused = self
            .ticked_ms
            .is_some_and(|ticked_ms| now_ms.saturating_sub(ticked_ms) > TICK_INTERVAL_MAX_MS);
        self.ticked_ms = Some(now_ms);
        self.needs_confirmation |= paused;
        self.last_use.tick(now_ms, self.epoch(now_ms).is_some());
        let is_write_pending = self
            .write_sent_ms
            .is_some_and(|sent_ms| now_ms < sent_ms + self.renewal_ms());
        if !self.is_read || is_write_pending {
            return None;
        }
        let action = if self.is_holder() {
            self.renewal(now_ms)?
        } else {
            self.take_over_if_free(now_ms)?
        };
        self.write_sent_ms = Some(now_ms);
        Some(action)
    }

    /// Applies the store's reply to an action that was sent at `sent_ms`.
    ///
    /// The lease's validity counts from the time of sending. An inconclusive write is retried
    /// after the interval between two renewals.
    pub fn apply_reply(
        &mut self,
        now_ms: u64,
        sent_ms: u64,
        action: LeaseAction,
        reply: StoreReply,
    ) {
        self.write_sent_ms = None;
        match reply {
            StoreReply::Written(version) => {
                let is_newest = self
                    .known
                    .as_ref()
                    .is_none_or(|(_, known)| version >= *known);
                if !is_newest {
                    return;
                }
                self.highest_epoch = self.highest_epoch.max(action.row.epoch);
                self.known = Some((action.row, version));
                self.changed_ms = now_ms;
                self.renewed_ms = Some(sent_ms);
                self.needs_confirmation = false;
                self.claim = ClaimAfterRestore::Normal;
            }
            StoreReply::Conflict(row) => {
                self.known = None;
                self.is_read = false;
                self.renewed_ms = None;
                self.apply_row(now_ms, row);
            }
            StoreReply::Unknown | StoreReply::Refused => {
                self.write_sent_ms = Some(now_ms);
            }
        }
    }

    /// Returns the epoch under which an order may be sent now; `None` if no order may be sent.
    #[must_use]
    pub fn epoch(&self, now_ms: u64) -> Option<u64> {
        let row = self.own_row()?;
        let renewed_ms = self.renewed_ms?;
        let interval_ms = now_ms.saturating_sub(self.ticked_ms?);
        if row.released
            || self.needs_confirmation
            || interval_ms > TICK_INTERVAL_MAX_MS
            || row.epoch < self.highest_epoch
        {
            return None;
        }
        let is_recent = now_ms.saturating_sub(renewed_ms) < self.lease_ms;
        (is_recent || self.endpoints_check_epoch).then_some(row.epoch)
    }

    /// Returns the VM of the last known holder; `None` if the lease is released or unknown.
    #[must_use]
    pub fn holder(&self) -> Option<&VmId> {
        let (row, _) = self.known.as_ref()?;
        (!row.released).then_some(&row.holder)
    }

    /// Releases the lease; returns the write that publishes this, or `None` if not the holder.
    pub fn release(&mut self) -> Option<LeaseAction> {
        if !self.is_holder() {
            return None;
        }
        self.renewed_ms = None;
        let (row, version) = self.known.clone()?;
        Some(LeaseAction {
            row: LeaseRow {
                released: true,
                renewals: row.renewals + 1,
                ..row
            },
            expected_version: version,
        })
    }

    fn renewal(&self, now_ms: u64) -> Option<LeaseAction> {
        let due = self.needs_confirmation
            || self
                .renewed_ms
                .is_none_or(|renewed_ms| now_ms >= renewed_ms + self.renewal_ms());
        let (row, version) = self.known.clone()?;
        due.then_some(LeaseAction {
            row: LeaseRow {
                renewals: row.renewals + 1,
                ..row
            },
            expected_version: version,
        })
    }

    /// Returns the write that acquires the lease, or `None` if it is not free yet.
    ///
    /// A released lease is free at once: its holder sends no more orders, and its earlier orders
    /// must not take effect after the first order of the next epoch.
    fn take_over_if_free(&self, now_ms: u64) -> Option<LeaseAction> {
        let unchanged_ms = now_ms.saturating_sub(self.changed_ms);
        if unchanged_ms < self.wait_before_acquisition_ms(now_ms) || self.would_alternate(now_ms) {
            return None;
        }
        let (epoch, version) = self
            .known
            .as_ref()
            .map_or((0, 0), |(row, version)| (row.epoch, *version));
        Some(self.acquisition(epoch.max(self.highest_epoch) + 1, version))
    }

    /// Returns whether this VM has sent orders within the duration of the lease and another one since.
    ///
    /// An order of this VM that is still on its way could take effect after one of the other's.
    fn would_alternate(&self, now_ms: u64) -> bool {
        let is_from_other = self
            .known
            .as_ref()
            .is_some_and(|(row, _)| row.holder != self.vm);
        let is_recent = self.last_use.is_within(now_ms, self.take_over_ms());
        is_from_other && is_recent && !self.is_claim_kept(now_ms)
    }

    /// Returns for how long the row must not have changed before this router acquires the lease.
    fn wait_before_acquisition_ms(&self, now_ms: u64) -> u64 {
        let row = self.known.as_ref().map(|(row, _)| row);
        let is_own_vm = row.is_some_and(|row| self.is_from_earlier_process(row));
        let is_free = match self.claim {
            ClaimAfterRestore::Kept { .. } | ClaimAfterRestore::Suspended => false,
            // A holder whose row the copy lacks may still send orders.
            ClaimAfterRestore::Normal if !self.are_lost_leases_over(now_ms) => false,
            // Without a row, a holder whose row was lost may still send orders.
            ClaimAfterRestore::Normal => {
                row.map_or(self.highest_epoch == 0, |row| row.released || is_own_vm)
            }
        };
        let delay_ms = if is_own_vm {
            0
        } else {
            self.acquisition_delay_ms
        };
        if is_free || self.is_claim_kept(now_ms) {
            return delay_ms;
        }
        self.take_over_ms() + delay_ms
    }

    /// Returns whether each lease that was written before the store's last return from an older copy has
    /// expired.
    fn are_lost_leases_over(&self, now_ms: u64) -> bool {
        self.era.had_lasted(now_ms, self.take_over_ms())
    }

    /// Returns the time after which a lease that is not renewed has expired for all, in milliseconds.
    fn take_over_ms(&self) -> u64 {
        self.lease_ms + TAKE_OVER_MARGIN_MS
    }

    /// Returns whether the holder is an earlier process of this VM, which runs one at a time.
    fn is_from_earlier_process(&self, row: &LeaseRow) -> bool {
        row.holder == self.vm
            && row.incarnation != self.incarnation
            && row.epoch >= self.highest_epoch
    }

    fn acquisition(&self, epoch: u64, expected_version: u64) -> LeaseAction {
        LeaseAction {
            row: LeaseRow {
                holder: self.vm.clone(),
                incarnation: self.incarnation,
                epoch: epoch.max(least_epoch(self.era, expected_version)),
                renewals: 0,
                released: false,
            },
            expected_version,
        }
    }

    fn claim_after_restore(&self, now_ms: u64) -> ClaimAfterRestore {
        if let ClaimAfterRestore::Kept { until_ms, .. } = self.claim
            && now_ms < until_ms
        {
            return self.claim;
        }
        let own_epoch = self.own_row().map(|row| row.epoch);
        match (own_epoch, self.renewed_ms) {
            (Some(epoch), Some(renewed_ms))
                if self.is_holder() && now_ms < renewed_ms + self.lease_ms =>
            {
                ClaimAfterRestore::Kept {
                    epoch,
                    until_ms: renewed_ms + self.lease_ms,
                }
            }
            _ => ClaimAfterRestore::Suspended,
        }
    }

    /// Returns whether no other router can hold the lease, although its row may be lost.
    fn is_claim_kept(&self, now_ms: u64) -> bool {
        matches!(
            self.claim,
            ClaimAfterRestore::Kept { epoch, until_ms }
                if epoch == self.highest_epoch && now_ms < until_ms
        )
    }

    fn renewal_ms(&self) -> u64 {
        self.lease_ms / RENEWALS_PER_LEASE
    }

    fn is_holder(&self) -> bool {
        let Some(row) = self.own_row() else {
            return false;
        };
        let may_claim = match self.claim {
            ClaimAfterRestore::Normal => true,
            ClaimAfterRestore::Kept { epoch, .. } => epoch == row.epoch,
            ClaimAfterRestore::Suspended => false,
        };
        may_claim && !row.released && row.epoch >= self.highest_epoch
    }

    fn own_row(&self) -> Option<&LeaseRow> {
        let (row, _) = self.known.as_ref()?;
        self.is_own(row).then_some(row)
    }

    fn is_own(&self, row: &LeaseRow) -> bool {
        row.holder == self.vm && row.incarnation == self.incarnation
    }
}
