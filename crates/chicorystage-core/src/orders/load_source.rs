use derive_more::Display;

/// Where an engine takes weights from.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LoadSource {
    /// The engine's main memory.
    #[display("memory")]
    Memory,
    /// The engine's disk.
    #[display("disk")]
    Disk,
    /// The weight store.
    #[display("store")]
    Store,
}
