use derive_more::Display;

/// Effect of a registry entry on the fleet view.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum EntryChange {
    /// The endpoint is new.
    #[display("added")]
    Added,
    /// The endpoint restarted, so that previously loaded models are no longer loaded.
    #[display("restarted")]
    Restarted,
    /// The endpoint began to drain.
    #[display("leaving")]
    Leaving,
    /// Another property of the entry changed.
    #[display("updated")]
    Updated,
    /// The entry equals the known one.
    #[display("same")]
    Same,
}
