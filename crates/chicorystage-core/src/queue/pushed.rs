use crate::queue::Entry;

/// What became of an attempt that was to wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pushed<T> {
    /// It waits.
    Queued,
    /// It waits, and these were given up for it.
    Displaced(Vec<Entry<T>>),
    /// The queue is full and it is given up itself.
    Full(Box<Entry<T>>),
}
