use std::sync::Arc;

/// Reason why sending an attempt opened no connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SendFailure {
    /// The agent certainly did not receive the attempt; the text says why.
    NotDelivered(Arc<str>),
    /// The agent may have received the attempt.
    Unknown,
    /// The deadline passed first; the agent may have received the attempt.
    TooLate,
}
