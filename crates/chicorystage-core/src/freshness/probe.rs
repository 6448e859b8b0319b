/// Which peers are to be asked for their revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// None: the head was confirmed lately.
    Nobody,
    /// A few, one of which may have seen the head.
    Few,
    /// All, to reach a majority.
    Everybody,
}
