use std::collections::HashMap;

use chicorystage_api::name::VmId;

/// Time for which a previously listed VM must be absent to count as gone, in milliseconds.
const ABSENT_LISTED_MS: u64 = 5_000;
/// Time for which a never listed VM must be absent to count as gone, in milliseconds.
const ABSENT_NEVER_LISTED_MS: u64 = 60_000;

/// Decides from the platform's lagging list of VMs which VMs no longer exist.
///
/// The history is local to one process. A VM that this process never saw in the list may be newer
/// than the list rather than gone, so absence is accepted sooner for a VM that was listed before.
/// Failed reads of the list are not observations.
#[derive(Clone, Debug, Default)]
pub struct VmHistory {
    by_vm: HashMap<VmId, Presence>,
}

#[derive(Clone, Copy, Debug)]
struct Presence {
    was_listed: bool,
    absent_since_ms: Option<u64>,
}

impl VmHistory {
    /// Records one successful read of the list.
    ///
    /// `named` are VMs of interest beside those listed, such as the holders of slots.
    pub fn observe<'a>(
        &mut self,
        listed: impl Iterator<Item = &'a VmId>,
        named: impl Iterator<Item = &'a VmId>,
        now_ms: u64,
    ) {
        for presence in self.by_vm.values_mut() {
            presence.absent_since_ms.get_or_insert(now_ms);
        }
        for vm in named {
            self.by_vm.entry(vm.clone()).or_insert(Presence {
                was_listed: false,
                absent_since_ms: Some(now_ms),
            });
        }
        for vm in listed {
            let present = Presence {
                was_listed: true,
                absent_since_ms: None,
            };
            self.by_vm.insert(vm.clone(), present);
        }
    }

    /// Returns whether a VM has been absent from the list for long enough to count as gone.
    #[must_use]
    pub fn is_gone(&self, vm: &VmId, now_ms: u64) -> bool {
        let Some(presence) = self.by_vm.get(vm) else {
            return false;
        };
        let Some(since_ms) = presence.absent_since_ms else {
            return false;
        };
        let needed_ms = if presence.was_listed {
            ABSENT_LISTED_MS
        } else {
            ABSENT_NEVER_LISTED_MS
        };
        now_ms.saturating_sub(since_ms) >= needed_ms
    }

    /// Removes the records of VMs that are gone and hold no slot.
    pub fn forget(&mut self, now_ms: u64, holds_slot: impl Fn(&VmId) -> bool) {
        let gone: Vec<VmId> = self
            .by_vm
            .keys()
            .filter(|vm| self.is_gone(vm, now_ms) && !holds_slot(vm))
            .cloned()
            .collect();
        for vm in gone {
            self.by_vm.remove(&vm);
        }
    }
}
