use crate::lease::LeaseRow;

/// A compare-and-set write of the lease row, to be sent to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseAction {
    /// Row to write.
    pub row: LeaseRow,
    /// Version that the stored row must have; 0 if no row may exist.
    pub expected_version: u64,
}
