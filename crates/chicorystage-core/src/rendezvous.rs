//! Rendezvous hashing: the order in which VMs are tried for a key.
//!
//! Processes with the same list of VMs compute the same order without
//! exchanging messages. A VM that is added or removed moves only the keys for
//! which it ranks first. Processes with different lists may compute different
//! orders, so no safety property may depend on the order.

use sha2::{Digest, Sha256};

/// Returns the weight of a VM for a key; the highest weight is tried first.
#[must_use]
pub fn weight(key: &str, vm: &str) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(key.as_bytes());
    hasher.update([0]);
    hasher.update(vm.as_bytes());
    let digest = hasher.finalize();
    let mut head = [0; size_of::<u64>()];
    head.copy_from_slice(&digest[..size_of::<u64>()]);
    u64::from_be_bytes(head)
}

/// Sorts VMs by descending weight for a key, and VMs of equal weight by name.
///
/// Costs one hash per VM and one sort.
pub fn rank<T>(key: &str, vms: &mut [T], name: impl Fn(&T) -> &str) {
    vms.sort_by_cached_key(|vm| {
        (
            std::cmp::Reverse(weight(key, name(vm))),
            name(vm).to_owned(),
        )
    });
}
