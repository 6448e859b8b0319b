use chicorystage_api::work::ServiceCall;
use chicorystage_borders::service::{Service, ServiceReply};
use chicorystage_borders::{BorderError, BoxFuture};

use crate::fakes::FakeService;
use crate::harness::gate::VmGate;

/// A fake service without a model engine, behind the gate of its agent.
#[derive(Clone, Debug)]
pub(super) struct GatedService {
    pub(super) gate: VmGate,
    pub(super) service: FakeService,
}

impl Service for GatedService {
    fn call(&self, call: ServiceCall) -> BoxFuture<'_, Result<ServiceReply, BorderError>> {
        Box::pin(async move {
            self.gate.pass().await;
            let reply = self.service.call(call).await;
            self.gate.pass().await;
            reply
        })
    }

    fn probe(&self) -> BoxFuture<'_, Result<(), BorderError>> {
        Box::pin(async move {
            self.gate.pass().await;
            self.service.probe().await
        })
    }
}
