/// The result of applying a change record to an inventory state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The record was the next one and is now in force.
    Advanced,
    /// The state already includes the record and is unchanged.
    Known,
    /// Records before it are missing; the state is unchanged.
    Gap,
}
