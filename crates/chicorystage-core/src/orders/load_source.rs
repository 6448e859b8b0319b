use derive_more::Display;

/// Where an engine reads a model's weights from, fastest first.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LoadSource {
    /// A copy in the engine's main memory.
    #[display("memory")]
    Memory,
    /// A copy on the engine's disk.
    #[display("disk")]
    Disk,
    /// The weight store, which all engines share.
    #[display("store")]
    Store,
}
