use crate::queue::Entry;

/// Result of adding an attempt to the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PushOutcome<T> {
    /// The attempt was queued.
    Queued,
    /// The attempt was queued and displaced these attempts, which must be refused.
    Displaced(Vec<Entry<T>>),
    /// The queue is full and the attempt itself must be refused.
    Full(Box<Entry<T>>),
}
