use displaydoc::Display;

/// A reservation that is larger than the free memory.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[displaydoc("{wanted_bytes} bytes are wanted and {free_bytes} bytes are free")]
pub struct LedgerFull {
    /// Memory that was asked for, in bytes.
    pub wanted_bytes: u64,
    /// Memory that nothing is reserved for, in bytes.
    pub free_bytes: u64,
}

impl LedgerFull {
    /// Returns the memory that must be given back first, in bytes.
    #[must_use]
    pub fn missing_bytes(&self) -> u64 {
        self.wanted_bytes.saturating_sub(self.free_bytes)
    }
}

impl std::error::Error for LedgerFull {}
