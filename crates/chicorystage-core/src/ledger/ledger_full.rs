use displaydoc::Display;

/// Error of a reservation that exceeds the free memory.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[displaydoc("{requested_bytes} bytes are requested and {free_bytes} bytes are free")]
pub struct LedgerFull {
    /// Memory that was requested, in bytes.
    pub requested_bytes: u64,
    /// Memory that is not reserved, in bytes.
    pub free_bytes: u64,
}

impl LedgerFull {
    /// Returns the memory that must be released before the reservation fits, in bytes.
    #[must_use]
    pub fn missing_bytes(&self) -> u64 {
        self.requested_bytes.saturating_sub(self.free_bytes)
    }
}

impl std::error::Error for LedgerFull {}
