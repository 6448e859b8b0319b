use std::sync::Mutex;

use chicorystage_api::name::VmId;
use chicorystage_borders::vm_list::{VmEntry, VmList, VmState};
use chicorystage_borders::{BorderError, BorderErrorKind, BoxFuture};

/// An in-memory fake of the platform's list of VMs.
#[derive(Debug, Default)]
pub struct FakeVmList {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    vms: Vec<VmEntry>,
    visible: Vec<VmEntry>,
    stale: bool,
    down: bool,
}

impl FakeVmList {
    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a VM, or replaces the VM of the same id.
    pub fn put(&self, vm: VmEntry) {
        let mut state = self.lock();
        state.vms.retain(|known| known.id != vm.id);
        state.vms.push(vm);
        state.publish();
    }

    /// Sets the state of a VM; has no effect if the VM is not in the list.
    pub fn set_state(&self, id: &VmId, vm_state: VmState) {
        let mut state = self.lock();
        for vm in state.vms.iter_mut().filter(|vm| vm.id == *id) {
            vm.state = vm_state;
        }
        state.publish();
    }

    /// Removes a VM; has no effect if the VM is not in the list.
    pub fn remove(&self, id: &VmId) {
        let mut state = self.lock();
        state.vms.retain(|vm| vm.id != *id);
        state.publish();
    }

    /// Sets whether readers get an outdated list: while set, changes stay invisible to them.
    pub fn set_stale(&self, is_stale: bool) {
        let mut state = self.lock();
        state.stale = is_stale;
        state.publish();
    }

    /// Sets whether the list is down; while it is, reads fail as not delivered.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl State {
    /// Makes the current list visible to readers, unless the list is stale.
    fn publish(&mut self) {
        if !self.stale {
            self.visible.clone_from(&self.vms);
        }
    }
}

impl VmList for FakeVmList {
    fn read(&self) -> BoxFuture<'_, Result<Vec<VmEntry>, BorderError>> {
        Box::pin(async move {
            let state = self.lock();
            if state.down {
                return Err(BorderError::new(
                    BorderErrorKind::NotDelivered,
                    "list of VMs is down",
                ));
            }
            Ok(state.visible.clone())
        })
    }
}
