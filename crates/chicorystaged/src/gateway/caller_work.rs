//! A caller's request while the gateway serves it.

use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use chicorystage_api::name::Digest;
use chicorystage_core::deployment::Route;
use chicorystage_core::latency::{WaitReason, WaitTimes};
use chicorystage_core::teams::Rank;
use chicorystage_platform::caller_request::CallerRequest;
use chicorystage_platform::endpoint_request::{self, EndpointTerms};
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::Full;

use crate::gateway::body_budget::BodyShare;
use crate::gateway::caller_identity::CallerIdentity;

/// A caller's request with its route and time limits.
#[derive(Debug)]
pub struct CallerWork {
    /// HTTP method, sent unchanged to the endpoint.
    pub method: Method,
    /// Path and query, sent unchanged to the endpoint.
    pub uri: Uri,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Whole request body, kept so that the request can be sent again.
    pub body: Bytes,
    /// Whether the request is let through to test the quarantine of a part of its prompt.
    pub is_trial: Cell<bool>,
    /// Memory that the body takes; `None` if it is not counted.
    pub body_share: Option<BodyShare>,
    /// Whom the request belongs to.
    pub identity: CallerIdentity,
    /// Place among waiting requests.
    pub rank: Rank,
    /// Urgency that engines are told for streams; 0 is the highest.
    pub urgency: u8,
    /// Decoded request headers.
    pub head: CallerRequest,
    /// Route that matched host and path.
    pub route: Arc<Route>,
    /// Time of arrival on the gateway's clock, in milliseconds.
    pub arrived_ms: u64,
    /// Latest time of the final answer on the gateway's clock, in milliseconds.
    pub ends_ms: u64,
    /// Time spent waiting for endpoints so far.
    pub waits: Cell<WaitTimes>,
    /// Digest under which the request is quarantined, once it was needed.
    pub digest: OnceCell<Digest>,
    /// Own addresses of the connections that have brought a refusal of the request.
    ///
    /// A faulty endpoint may write the refusal once more, which would look like the answer of another
    /// attempt there.
    pub refused_on: RefCell<Vec<SocketAddr>>,
    /// Start of the last attempt on the gateway's clock, in milliseconds.
    pub attempt_began_ms: Cell<u64>,
}

impl CallerWork {
    /// Returns the time from `now_ms` to [`Self::ends_ms`], in milliseconds; 0 once that has
    /// passed.
    #[must_use]
    pub fn left_ms(&self, now_ms: u64) -> u64 {
        self.ends_ms.saturating_sub(now_ms)
    }

    /// Records a wait for an endpoint.
    pub fn record_wait(&self, reason: WaitReason, time_ms: u64) {
        let mut waits = self.waits.get();
        waits.add(reason, time_ms);
        self.waits.set(waits);
    }

    /// Returns the request as it is sent to one endpoint.
    pub(super) fn request(&self, terms: &EndpointTerms<'_>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = endpoint_request::encode(&self.headers, terms);
        request
    }
}
