use chicorystage_api::name::VmId;
use chicorystage_api::work::EndpointLoad;

use crate::router::event::RouterEvent;
use crate::router::handle::RouterHandle;

/// Guard of an attempt that counts as in flight at a VM until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    handle: RouterHandle,
    vm: VmId,
    load: Option<EndpointLoad>,
}

impl InFlightGuard {
    pub(crate) fn new(handle: RouterHandle, vm: VmId) -> Self {
        Self {
            handle,
            vm,
            load: None,
        }
    }

    /// Stores the endpoint's last reported load, which is sent on with the attempt's end.
    ///
    /// `None` keeps the earlier report.
    pub(crate) fn report(&mut self, load: Option<EndpointLoad>) {
        self.load = load.or(self.load);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let ended = RouterEvent::AttemptEnded {
            vm: self.vm.clone(),
            load: self.load,
        };
        self.handle.send_detached(ended);
    }
}
