use crate::lease::LeaseRow;

/// The store's reply to a write of the lease row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The row was written and now has this version.
    Written(u64),
    /// The version did not match; holds the stored row and its version, or `None` without a row.
    Conflict(Option<(LeaseRow, u64)>),
    /// The outcome is unknown: the write may have taken effect or may still do so.
    Unknown,
    /// The store refused the write, which has no effect.
    Refused,
}
