//! A retry that the budget granted and that may still be on its way to an endpoint.

use std::rc::Rc;

use chicorystage_api::name::ServiceName;

use crate::gateway::retry_decision::RetryDecision;
use crate::gateway::shared::Gateway;

/// Guard that counts a granted retry as in flight until it is dropped.
///
/// It is dropped when the endpoint has answered or the attempt has failed; until then the request may
/// still arrive.
#[derive(Debug)]
pub struct RetryPermit {
    gateway: Rc<Gateway>,
    service: ServiceName,
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        let now_ms = self.gateway.now_ms();
        self.gateway
            .with(|view| view.retries.settle(now_ms, &self.service));
    }
}

impl Gateway {
    /// Takes one retry from the budget of a service that all gateways share.
    ///
    /// Returns the decision, and a permit if one was left.
    #[must_use]
    pub fn take_retry(
        self: &Rc<Self>,
        now_ms: u64,
        service: &ServiceName,
    ) -> (RetryDecision, Option<RetryPermit>) {
        let decision = self.decide_retry(now_ms, service);
        let permit = decision.is_granted.then(|| RetryPermit {
            gateway: Rc::clone(self),
            service: service.clone(),
        });
        (decision, permit)
    }
}
