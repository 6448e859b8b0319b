/// First answer of the store after failed calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Time since the start of the first call that failed, in milliseconds.
    pub away_ms: u64,
    /// Whether the store was away for so long that entries of live endpoints may have expired.
    pub is_outage: bool,
}
