use chicorystage_api::name::VmId;
use chicorystage_api::work::EndpointLoad;

use crate::router::event::RouterEvent;
use crate::router::handle::RouterHandle;

/// An attempt that counts as sent to an endpoint; counted back on drop.
#[derive(Debug)]
pub struct Flight {
    handle: RouterHandle,
    vm: VmId,
    load: Option<EndpointLoad>,
}

impl Flight {
    pub(crate) fn new(handle: RouterHandle, vm: VmId) -> Self {
        Self {
            handle,
            vm,
            load: None,
        }
    }

    /// Keeps the endpoint's load as last reported.
    pub(crate) fn report(&mut self, load: Option<EndpointLoad>) {
        self.load = load.or(self.load);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let ended = RouterEvent::AttemptEnded {
            vm: self.vm.clone(),
            load: self.load,
        };
        self.handle.tell_later(ended);
    }
}
