use crate::lease::LeaseRow;

/// What the lease asks to be done at the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseAction {
    /// Row to write.
    pub row: LeaseRow,
    /// Version that the stored row must have; 0 where there must be none.
    pub expected_version: u64,
}
