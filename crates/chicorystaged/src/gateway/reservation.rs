//! Reservation of an endpoint's capacity for one request.

use std::net::SocketAddr;
use std::rc::Rc;

use chicorystage_api::name::{EndpointId, ModelName, ServiceName, SoftwareVersion};
use chicorystage_core::fleet::{Endpoint, EndpointEntry};
use chicorystage_core::request_limit::NamedLimit;
use chicorystage_platform::endpoint_answer::{EndpointAnswer, Execution};

use crate::gateway::request_limits;
use crate::gateway::shared::Gateway;

/// Guard that counts one request as in progress at an endpoint until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    gateway: Rc<Gateway>,
    /// Endpoint that the request is sent to.
    pub endpoint: EndpointId,
    /// Address of the endpoint at the time of the reservation.
    pub address: SocketAddr,
    /// Software version of the endpoint at the time of the reservation; `None` if unknown.
    pub software: Option<SoftwareVersion>,
    model: Option<ModelName>,
    is_answered: bool,
    service: ServiceName,
    began_ms: u64,
    /// Whether an answer of the endpoint has begun to arrive.
    has_responded: bool,
}

impl Reservation {
    /// Creates the guard for a request that the endpoint's record already counts.
    #[must_use]
    pub fn new(gateway: Rc<Gateway>, entry: &EndpointEntry, model: Option<ModelName>) -> Self {
        Self {
            began_ms: gateway.now_ms(),
            gateway,
            endpoint: entry.id.clone(),
            address: entry.address,
            software: entry.software.clone(),
            model,
            is_answered: false,
            service: entry.service.clone(),
            has_responded: false,
        }
    }

    /// Returns whether the endpoint still accepts new requests at the reserved address, with the same
    /// software.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.gateway.with(|view| {
            let known = view.fleet.get(&self.endpoint);
            known.is_some_and(|known| {
                known.accepts_requests()
                    && known.entry.address == self.address
                    && known.entry.software == self.software
            })
        })
    }

    /// Records that the endpoint has begun to answer; later calls do nothing.
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

    /// Records that an answer of the endpoint has begun to arrive.
    pub fn responded(&mut self) {
        self.answered();
        self.has_responded = true;
        self.gateway
            .with_endpoint(&self.endpoint, Endpoint::responded);
    }

    /// Records what the endpoint has said of itself in an answer.
    ///
    /// An answer of another endpoint at its address says nothing of this one.
    pub fn heard(&self, answer: &EndpointAnswer, request: &str) {
        if answer.execution == Execution::Misdirected {
            return;
        }
        self.heard_limit(answer, request);
        if !answer.is_leaving && answer.hold_ms.is_none() {
            return;
        }
        let now_ms = self.gateway.now_ms();
        self.gateway.with_endpoint(&self.endpoint, |endpoint| {
            if answer.is_leaving {
                endpoint.said_it_leaves();
            }
            if let Some(hold_ms) = answer.hold_ms {
                endpoint.hold_back(now_ms, hold_ms);
            }
        });
        log::info!(
            event = "endpoint_said", request, endpoint = self.endpoint.as_str(),
            is_leaving = answer.is_leaving, hold_ms = answer.hold_ms.unwrap_or(0);
            "endpoint leaves or wants no request for a time"
        );
    }

    /// Records the limit that an answer names, or that it names none.
    ///
    /// Only an answer of a request that ran ends a limit.
    fn heard_limit(&self, answer: &EndpointAnswer, request: &str) {
        let limit = answer.limit;
        if limit == NamedLimit::Absent && answer.execution != Execution::MayHaveRun {
            return;
        }
        if limit == NamedLimit::Unreadable {
            log::warn!(
                event = "endpoint_limit_unreadable", request, endpoint = self.endpoint.as_str();
                "endpoint names a limit that is no number; ignored"
            );
        }
        let now_ms = self.gateway.now_ms();
        let mut is_changed = false;
        self.gateway.with_endpoint(&self.endpoint, |endpoint| {
            is_changed = endpoint.limit.named(now_ms, limit);
        });
        if is_changed {
            log::info!(
                event = "endpoint_limit", request, endpoint = self.endpoint.as_str(), limit:?;
                "endpoint has changed the number of requests that it takes"
            );
            request_limits::tell(&self.gateway, &self.endpoint);
        }
    }

    /// Records that the connection broke before any answer.
    pub fn connection_broke(&self) {
        let now_ms = self.gateway.now_ms();
        self.gateway.with_endpoint(&self.endpoint, |endpoint| {
            endpoint.connection_broke(now_ms);
        });
    }

    /// Records that the endpoint accepted no connection.
    pub fn unreachable(&self) {
        let now_ms = self.gateway.now_ms();
        self.gateway.with_endpoint(&self.endpoint, |endpoint| {
            endpoint.unreachable(now_ms);
            endpoint.outcome(now_ms, false);
        });
    }

    /// Records whether the endpoint served the request well.
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
        if self.has_responded {
            let time_ms = self.gateway.now_ms() - self.began_ms;
            self.gateway
                .with(|view| view.fleet.request_ended(&self.service, time_ms));
        }
        self.gateway.capacity_changed.notify_one();
    }
}
