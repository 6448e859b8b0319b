use chicorystage_core::placement::CacheTier;

/// Weights that one worker caches in host memory and on disk, by model index.
#[derive(Clone, Debug)]
pub(crate) struct Caches {
    memory: Vec<(usize, u64)>,
    memory_max_bytes: u64,
    disk: Vec<bool>,
}

impl Caches {
    pub(crate) fn new(memory_max_bytes: u64, disk: Vec<bool>) -> Self {
        Self {
            memory: Vec::new(),
            memory_max_bytes,
            disk,
        }
    }

    pub(crate) fn tier(&self, model: usize) -> CacheTier {
        if self.memory.iter().any(|(cached, _)| *cached == model) {
            CacheTier::Memory
        } else if self.disk[model] {
            CacheTier::Disk
        } else {
            CacheTier::Remote
        }
    }

    /// Caches a model's weights in both tiers.
    ///
    /// Evicts the least recently cached models from memory where it is full; the
    /// disk is unlimited.
    pub(crate) fn put(&mut self, model: usize, bytes: u64) {
        self.disk[model] = true;
        self.memory.retain(|(cached, _)| *cached != model);
        self.memory.push((model, bytes));
        while self.memory_used_bytes() > self.memory_max_bytes {
            self.memory.remove(0);
        }
    }

    fn memory_used_bytes(&self) -> u64 {
        self.memory.iter().map(|(_, bytes)| bytes).sum()
    }
}
