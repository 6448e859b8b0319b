use crate::lease::LeaseRow;

/// What the store answered to a write of the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The row was written and has this version now.
    Written(u64),
    /// Another row was there, with its version; none where there was no row.
    Conflict(Option<(LeaseRow, u64)>),
    /// Nothing is known: the write may have taken effect or may do so later.
    Unknown,
    /// The store did nothing.
    Refused,
}
