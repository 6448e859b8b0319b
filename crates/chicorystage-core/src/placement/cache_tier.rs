/// Nearest source from which a VM can load a model's weights; nearer tiers compare as less.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum CacheTier {
    /// A replica is already loaded in accelerator memory.
    Loaded,
    /// Weights are cached in host memory.
    Memory,
    /// Weights are cached on local disk.
    Disk,
    /// Weights must be fetched from the weight store.
    #[default]
    Remote,
}
