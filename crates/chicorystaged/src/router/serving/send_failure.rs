use std::sync::Arc;

/// Why sending an attempt gave no connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SendFailure {
    /// The agent certainly never saw it.
    NotDelivered(Arc<str>),
    /// The agent may have seen it.
    Unknown,
    /// The deadline passed first; the agent may have seen it.
    TooLate,
}
