/// What a record did to a state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The record was the next one and is in force.
    Advanced,
    /// The state already holds the record.
    Known,
    /// Records before it are missing; the state is unchanged.
    Gap,
}
