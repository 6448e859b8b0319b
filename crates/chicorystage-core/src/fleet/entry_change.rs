use derive_more::Display;

/// What an entry changed in the view.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum EntryChange {
    /// The endpoint was not known.
    #[display("added")]
    Added,
    /// The endpoint has started anew and holds nothing of before.
    #[display("restarted")]
    Restarted,
    /// The endpoint has begun to leave.
    #[display("leaving")]
    Leaving,
    /// Something else changed.
    #[display("updated")]
    Updated,
    /// Nothing changed.
    #[display("same")]
    Same,
}
