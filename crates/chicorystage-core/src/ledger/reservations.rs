use std::collections::BTreeMap;

use crate::ledger::{LedgerFull, ReservationOwner};

/// Tracks the reservations of one endpoint's accelerator memory.
///
/// A new reservation never exceeds the total. Memory that an engine already
/// uses is recorded even above the total, since rejecting it would not free it.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    total_bytes: u64,
    reserved_bytes: u64,
    reservations: BTreeMap<ReservationOwner, u64>,
}

impl Ledger {
    /// Sets the endpoint's total memory, in bytes.
    pub fn set_total(&mut self, total_bytes: u64) {
        self.total_bytes = total_bytes;
    }

    /// Returns the endpoint's total memory, in bytes.
    #[must_use]
    pub fn total_bytes(&self) -> u64 {
        self.total_bytes
    }

    /// Returns the memory that is reserved, in bytes.
    #[must_use]
    pub fn reserved_bytes(&self) -> u64 {
        self.reserved_bytes
    }

    /// Returns the memory that is not reserved, in bytes; 0 if reservations exceed the total.
    #[must_use]
    pub fn free_bytes(&self) -> u64 {
        self.total_bytes.saturating_sub(self.reserved_bytes)
    }

    /// Returns the memory that is reserved for one replica or adapter, in bytes.
    #[must_use]
    pub fn bytes_reserved_for(&self, owner: &ReservationOwner) -> u64 {
        self.reservations.get(owner).copied().unwrap_or(0)
    }

    /// Reserves memory for an order that is about to be sent.
    ///
    /// # Errors
    ///
    /// Returns [`LedgerFull`] and reserves nothing if less memory is free.
    pub fn reserve(
        &mut self,
        owner: ReservationOwner,
        requested_bytes: u64,
    ) -> Result<(), LedgerFull> {
        let free_bytes = self.free_bytes();
        if requested_bytes > free_bytes {
            return Err(LedgerFull {
                requested_bytes,
                free_bytes,
            });
        }
        self.record(owner, requested_bytes);
        Ok(())
    }

    /// Records memory that the engine already uses, even above the total.
    ///
    /// Replaces an earlier reservation for the same replica or adapter.
    pub fn record(&mut self, owner: ReservationOwner, used_bytes: u64) {
        let before = self.reservations.insert(owner, used_bytes).unwrap_or(0);
        self.reserved_bytes = self
            .reserved_bytes
            .saturating_sub(before)
            .saturating_add(used_bytes);
    }

    /// Releases a reservation whose memory the engine no longer uses.
    pub fn release(&mut self, owner: &ReservationOwner) {
        let released = self.reservations.remove(owner).unwrap_or(0);
        self.reserved_bytes = self.reserved_bytes.saturating_sub(released);
    }
}
