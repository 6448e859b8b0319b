use std::collections::HashMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use chicorystage_api::name::VmId;

/// Bytes of a prompt that make its prefix.
const PREFIX_BYTES: usize = 256;
/// Hints of one generation; two generations are kept.
const GENERATION_MAX: usize = 4_096;

/// Endpoints that likely hold a prompt prefix in their cache.
///
/// When a generation is full it becomes the old one and the old one is
/// dropped, so that a hint costs constant time and memory is bounded.
#[derive(Clone, Debug, Default)]
pub struct PrefixHints {
    young: HashMap<u64, VmId>,
    old: HashMap<u64, VmId>,
}

impl PrefixHints {
    /// Returns the endpoint that ran a prefix last.
    #[must_use]
    pub fn get(&self, key: u64) -> Option<&VmId> {
        self.young.get(&key).or_else(|| self.old.get(&key))
    }

    /// Notes that an endpoint ran a prefix.
    pub fn put(&mut self, key: u64, vm: VmId) {
        if self.young.len() >= GENERATION_MAX {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(key, vm);
    }
}

/// Returns the key of a prompt's prefix on a model; none for a short prompt.
#[must_use]
pub fn prefix_key(model: &str, prompt: &str) -> Option<u64> {
    let prefix = prompt.as_bytes().get(..PREFIX_BYTES)?;
    let mut hasher = DefaultHasher::new();
    model.hash(&mut hasher);
    prefix.hash(&mut hasher);
    Some(hasher.finish())
}
