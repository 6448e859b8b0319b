/// How many peers to query for their revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// No peer, because the head was confirmed recently.
    None,
    /// A few peers, one of which may have read the head.
    Few,
    /// Every peer, to reach a majority.
    All,
}
