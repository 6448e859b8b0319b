//! Rendezvous hashing: the order in which VMs are tried for a key.
//!
//! Every process that knows the same VMs ranks them alike without talking, and
//! a VM that comes or goes moves only the keys that rank it first. Two
//! processes with different lists may disagree; nothing safe rests on the
//! order.

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

/// Sorts VMs by falling weight for a key; ties, though unlikely, by name.
///
/// Costs one hash a VM and one sort.
pub fn rank<T>(key: &str, vms: &mut [T], name: impl Fn(&T) -> &str) {
    vms.sort_by_cached_key(|vm| {
        (
            std::cmp::Reverse(weight(key, name(vm))),
            name(vm).to_owned(),
        )
    });
}
