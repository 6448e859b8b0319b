/// Whether a request has just come or waits already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It has just come, so that those that wait go before it.
    New,
    /// It is the one that has waited longest.
    Waiting,
}
