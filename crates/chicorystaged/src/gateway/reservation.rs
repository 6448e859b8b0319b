//! The right to send one request to an endpoint.

use std::net::SocketAddr;
use std::rc::Rc;

use chicorystage_api::name::{EndpointId, ModelName};

use crate::gateway::shared::Gateway;

/// A request in progress at an endpoint; dropping it ends it there.
#[derive(Debug)]
pub struct Reservation {
    gateway: Rc<Gateway>,
    /// Endpoint that runs the request.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    model: Option<ModelName>,
    is_answered: bool,
}

impl Reservation {
    /// Creates the reservation of a request that the endpoint's record already counts.
    #[must_use]
    pub fn new(
        gateway: Rc<Gateway>,
        endpoint: EndpointId,
        address: SocketAddr,
        model: Option<ModelName>,
    ) -> Self {
        Self {
            gateway,
            endpoint,
            address,
            model,
            is_answered: false,
        }
    }

    /// Notes that the endpoint began to answer.
    pub fn answered(&mut self) {
        if self.is_answered {
            return;
        }
        self.is_answered = true;
        let now_ms = self.gateway.now_ms();
        self.gateway.with_endpoint(&self.endpoint, |endpoint| {
            endpoint.answered(now_ms);
        });
    }

    /// Notes that the endpoint took no connection.
    pub fn unreachable(&self) {
        let now_ms = self.gateway.now_ms();
        self.gateway.with_endpoint(&self.endpoint, |endpoint| {
            endpoint.unreachable(now_ms);
            endpoint.outcome(now_ms, false);
        });
    }

    /// Notes whether the endpoint served the request well.
    pub fn outcome(&self, is_good: bool) {
        let now_ms = self.gateway.now_ms();
        self.gateway.with_endpoint(&self.endpoint, |endpoint| {
            endpoint.outcome(now_ms, is_good);
        });
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.answered();
        self.gateway.with_endpoint(&self.endpoint, |endpoint| {
            endpoint.ended(self.model.as_ref());
        });
        self.gateway.room_changed.notify_one();
    }
}
