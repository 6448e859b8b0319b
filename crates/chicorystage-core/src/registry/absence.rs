/// What to do with an endpoint whose entry is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    /// The endpoint is gone.
    Gone,
    /// The endpoint is kept for now, since it may register again after an outage.
    Kept {
        /// Time from which it counts as gone, in milliseconds.
        until_ms: u64,
    },
}
