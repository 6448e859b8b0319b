//! A retry that the budget granted and that may still be on its way to an endpoint.

use std::rc::Rc;

use chicorystage_api::name::ServiceName;

use crate::gateway::retry_decision::BudgetFields;
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
    /// Takes one retry from the budget of a service that all gateways share, if `is_needed`.
    ///
    /// Returns what the budget decided, for the log line, and a permit if a retry was left.
    #[must_use]
    pub fn take_retry(
        self: &Rc<Self>,
        is_needed: bool,
        now_ms: u64,
        service: &ServiceName,
    ) -> (BudgetFields, Option<RetryPermit>) {
        let decision = is_needed.then(|| self.decide_retry(now_ms, service));
        let is_granted = decision
            .as_ref()
            .is_some_and(|decision| decision.is_granted);
        let permit = is_granted.then(|| RetryPermit {
            gateway: Rc::clone(self),
            service: service.clone(),
        });
        (BudgetFields::of(decision.as_ref()), permit)
    }
}
