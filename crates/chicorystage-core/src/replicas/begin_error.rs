use displaydoc::Display;

use crate::ledger::LedgerFull;

/// Reason why an order cannot be sent now.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum BeginError {
    /// the replica or adapter is not in a state for it
    Busy,
    /// {0}
    Full(LedgerFull),
}

impl std::error::Error for BeginError {}
