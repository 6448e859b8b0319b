use std::collections::HashMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use chicorystage_api::name::VmId;

/// Length of a prompt's prefix, in bytes.
const PREFIX_BYTES: usize = 256;
/// Maximum number of hints in one generation; two generations are kept.
const GENERATION_MAX: usize = 4_096;

/// Endpoints that probably have a prompt prefix in their cache.
///
/// Hints are kept in two generations. When the young generation is full it becomes the old one,
/// and the previous old one is dropped, so that a hint takes constant time and memory is bounded.
#[derive(Clone, Debug, Default)]
pub struct PrefixHints {
    young: HashMap<u64, VmId>,
    old: HashMap<u64, VmId>,
}

impl PrefixHints {
    /// Returns the endpoint that last processed a prefix; `None` without a hint.
    #[must_use]
    pub fn get(&self, key: u64) -> Option<&VmId> {
        self.young.get(&key).or_else(|| self.old.get(&key))
    }

    /// Records that an endpoint processed a prefix.
    pub fn put(&mut self, key: u64, vm: VmId) {
        if self.young.len() >= GENERATION_MAX {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(key, vm);
    }
}

/// Returns the key of a prompt's prefix for a model; `None` for a prompt shorter than 256 bytes.
#[must_use]
pub fn prefix_key(model: &str, prompt: &str) -> Option<u64> {
    let prefix = prompt.as_bytes().get(..PREFIX_BYTES)?;
    let mut hasher = DefaultHasher::new();
    model.hash(&mut hasher);
    prefix.hash(&mut hasher);
    Some(hasher.finish())
}
