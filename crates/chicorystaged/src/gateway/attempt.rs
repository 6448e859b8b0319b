//! One attempt of a request at one endpoint.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use chicorystage_core::deployment::Route;
use chicorystage_platform::caller_request::CallerRequest;
use chicorystage_platform::endpoint_answer::{EndpointAnswer, Execution};
use chicorystage_platform::endpoint_request::{self, EndpointTerms};
use displaydoc::Display;
use http::{HeaderMap, Method, Request, Uri, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use crate::gateway::connection::Connection;
use crate::gateway::reservation::Reservation;
use crate::gateway::shared::Gateway;

/// Why an answer is lost whose connection broke before its head.
pub const CONNECTION_BROKE: &str = "connection broke before an answer";
/// Largest body of a refusal that is read so that its connection can be kept, in bytes.
const REFUSAL_BYTES_MAX: usize = 4 << 10;
/// Urgency of requests whose route goes first.
const URGENCY_FIRST: u8 = 3;
/// Urgency of the least urgent requests.
const URGENCY_LAST: u8 = 9;

/// the endpoint's answer broke off
#[derive(Clone, Copy, Debug, Display)]
pub struct AnswerBroken;

impl std::error::Error for AnswerBroken {}

/// A caller's request with the terms of its route.
#[derive(Debug)]
pub struct CallerWork {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// What the headers say.
    pub head: CallerRequest,
    /// Route that the request takes.
    pub route: Arc<Route>,
    /// Arrival, in milliseconds.
    pub arrived_ms: u64,
    /// Time of the final answer at the latest, in milliseconds.
    pub ends_ms: u64,
    /// Time spent waiting for an endpoint, in milliseconds.
    pub wait_ms: Cell<u64>,
}

/// What became of an attempt.
#[derive(Debug)]
pub enum Attempted {
    /// The endpoint answers.
    Answered(Box<Answered>),
    /// The request was not run.
    NotRun {
        /// Why.
        reason: &'static str,
        /// Whether the endpoint is another one, or lacks the model or adapter.
        is_misdirected: bool,
    },
    /// The request may have run and its answer is lost.
    Lost {
        /// Why.
        reason: &'static str,
    },
}

/// An answer whose body is still to be read.
#[derive(Debug)]
pub struct Answered {
    /// Status and headers.
    pub parts: response::Parts,
    /// What the headers say.
    pub head: EndpointAnswer,
    /// Body.
    pub body: Incoming,
    /// Connection that carries it.
    pub connection: Connection,
    /// Place at the endpoint.
    pub reservation: Reservation,
}

impl CallerWork {
    /// Returns the time left at `now_ms`, in milliseconds.
    #[must_use]
    pub fn left_ms(&self, now_ms: u64) -> u64 {
        self.ends_ms.saturating_sub(now_ms)
    }

    fn request(&self, terms: &EndpointTerms<'_>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = endpoint_request::encode(&self.headers, terms);
        request
    }
}

/// Sends a request to the reserved endpoint and waits for the head of its answer.
pub async fn send(
    gateway: &Rc<Gateway>,
    mut reservation: Reservation,
    work: &CallerWork,
    last_event_id: Option<&str>,
) -> Attempted {
    let mut connection = match connect(gateway, &reservation, true).await {
        Ok(connection) => connection,
        Err(not_run) => return not_run,
    };
    let response = loop {
        let terms = EndpointTerms {
            endpoint: &reservation.endpoint,
            left_ms: work.left_ms(gateway.now_ms()),
            urgency: urgency(&work.route),
            last_event_id,
        };
        match connection
            .sender
            .try_send_request(work.request(&terms))
            .await
        {
            Ok(response) => break response,
            Err(mut refused) => {
                if refused.take_message().is_none() {
                    reservation.outcome(false);
                    return Attempted::Lost {
                        reason: CONNECTION_BROKE,
                    };
                }
            }
        }
        // Nothing was written: the endpoint had closed the idle connection.
        connection = match connect(gateway, &reservation, false).await {
            Ok(connection) => connection,
            Err(not_run) => return not_run,
        };
    };
    reservation.answered();
    let (parts, body) = response.into_parts();
    let head = EndpointAnswer::decode(parts.status, &parts.headers, &work.head.attempt_id);
    if !head.is_own {
        reservation.outcome(false);
        return Attempted::Lost {
            reason: "answer of another request",
        };
    }
    let answered = Answered {
        parts,
        head,
        body,
        connection,
        reservation,
    };
    if answered.head.execution != Execution::Possible {
        return refused(gateway, answered).await;
    }
    Attempted::Answered(Box::new(answered))
}

impl Answered {
    /// Keeps the connection of an answer whose body was read whole.
    pub fn recycle(self, gateway: &Gateway) {
        recycle(gateway, &self.head, self.connection, &self.reservation);
    }
}

/// Keeps a connection for the next request unless the endpoint closes it.
pub fn recycle(
    gateway: &Gateway,
    head: &EndpointAnswer,
    connection: Connection,
    reservation: &Reservation,
) {
    if !head.closes {
        let now_ms = gateway.now_ms();
        let endpoint = &reservation.endpoint;
        gateway
            .pool
            .put(now_ms, endpoint, connection, head.idle_timeout_ms);
    }
}

async fn connect(
    gateway: &Rc<Gateway>,
    reservation: &Reservation,
    may_reuse: bool,
) -> Result<Connection, Attempted> {
    if may_reuse
        && let Some(connection) = gateway.pool.take(gateway.now_ms(), &reservation.endpoint)
    {
        return Ok(connection);
    }
    let not_run = Attempted::NotRun {
        reason: "endpoint takes no connection",
        is_misdirected: false,
    };
    let opened = Connection::open(reservation.address).await;
    if let Ok(mut connection) = opened
        && connection.sender.ready().await.is_ok()
    {
        return Ok(connection);
    }
    reservation.unreachable();
    Err(not_run)
}

async fn refused(gateway: &Rc<Gateway>, answered: Answered) -> Attempted {
    let is_misdirected = answered.head.execution == Execution::Misdirected;
    let Answered {
        head,
        body,
        connection,
        reservation,
        ..
    } = answered;
    if Limited::new(body, REFUSAL_BYTES_MAX)
        .collect()
        .await
        .is_ok()
    {
        recycle(gateway, &head, connection, &reservation);
    }
    Attempted::NotRun {
        reason: if is_misdirected {
            "endpoint lacks the model or is another one"
        } else {
            "endpoint refused"
        },
        is_misdirected,
    }
}

fn urgency(route: &Route) -> Option<u8> {
    let urgency = URGENCY_FIRST.saturating_add(route.priority);
    route.kind.is_stream().then_some(urgency.min(URGENCY_LAST))
}
