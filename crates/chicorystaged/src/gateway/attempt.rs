//! Sends a request once to a reserved endpoint and classifies the result.
//!
//! The classification decides whether a retry is safe: an attempt either has an answer, certainly
//! did not run, or may have run and lost its answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use chicorystage_borders::http::InterimLimit;
use chicorystage_platform::endpoint_answer::{EndpointAnswer, Execution, NamedAttempt};
use chicorystage_platform::endpoint_request::EndpointTerms;
use displaydoc::Display;
use http::{Request, Response, StatusCode, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use crate::gateway::caller_identity::CallerIdentity;
use crate::gateway::caller_work::CallerWork;
use crate::gateway::connection::Connection;
use crate::gateway::loss_reason::LossReason;
use crate::gateway::reservation::Reservation;
use crate::gateway::shared::Gateway;

/// Largest refusal body that is read to make its connection reusable, in bytes.
const REFUSAL_BYTES_MAX: usize = 4 << 10;
/// Longest wait for the whole body of a refusal, in milliseconds.
const REFUSAL_READ_MS: u64 = 50;

/// the endpoint's answer broke off
#[derive(Clone, Copy, Debug, Display)]
pub struct AnswerBroken;

impl std::error::Error for AnswerBroken {}

/// Result of an attempt.
#[derive(Debug)]
pub enum Attempted {
    /// The endpoint ran the request, and the head of its answer has arrived.
    Answered(Box<Answered>),
    /// The request certainly did not run.
    NotRun {
        /// Reason for the log.
        reason: &'static str,
        /// Whether the endpoint is a different one than addressed, or is missing the model or
        /// adapter.
        is_misdirected: bool,
        /// Whether the endpoint received the request; then another attempt is a retry.
        has_arrived: bool,
    },
    /// The request may have run and its answer is lost.
    Lost(LossReason),
}

/// An endpoint's answer whose body has not been read yet.
#[derive(Debug)]
pub struct Answered {
    /// Status and headers as the endpoint sent them.
    pub parts: response::Parts,
    /// Decoded answer headers.
    pub head: EndpointAnswer,
    /// Unread body.
    pub body: Incoming,
    /// Connection that carries the body; dropping it cancels the request at the endpoint.
    pub connection: Connection,
    /// Capacity at the endpoint that the request occupies.
    pub reservation: Reservation,
}

impl Attempted {
    /// Returns whether the request was written to a connection, so that it may have arrived.
    #[must_use]
    pub fn was_sent(&self) -> bool {
        !matches!(
            self,
            Self::NotRun {
                has_arrived: false,
                ..
            }
        )
    }
}

/// Sends a request to the reserved endpoint and waits for the head of its answer.
///
/// `last_event_id` names the last event that the caller has received; it is `None` unless a stream
/// is resumed. An idle connection that turns out to be closed before anything was written is
/// replaced by a new one.
pub async fn send(
    gateway: &Rc<Gateway>,
    reservation: Reservation,
    work: &CallerWork,
    last_event_id: Option<&str>,
) -> Attempted {
    let sending = Sending::begin(&work.identity);
    let attempted = send_once(gateway, reservation, work, last_event_id).await;
    sending.ended(&attempted);
    attempted
}

/// Records that a request may have run, unless its attempt ends and says otherwise.
struct Sending<'a> {
    identity: &'a CallerIdentity,
    has_not_run: bool,
}

impl<'a> Sending<'a> {
    fn begin(identity: &'a CallerIdentity) -> Self {
        Self {
            identity,
            has_not_run: false,
        }
    }

    fn ended(mut self, attempted: &Attempted) {
        self.has_not_run = matches!(attempted, Attempted::NotRun { .. });
    }
}

impl Drop for Sending<'_> {
    fn drop(&mut self) {
        // An attempt that is dropped before its end may have run.
        self.identity.sent(!self.has_not_run);
    }
}

async fn send_once(
    gateway: &Rc<Gateway>,
    mut reservation: Reservation,
    work: &CallerWork,
    last_event_id: Option<&str>,
) -> Attempted {
    work.attempt_began_ms.set(gateway.now_ms());
    let mut connection = match connect(gateway, &reservation, Some(work)).await {
        Ok(connection) => connection,
        Err(not_run) => return not_run,
    };
    let response = loop {
        if !reservation.is_valid() {
            return Attempted::NotRun {
                reason: "endpoint left before the request was sent",
                is_misdirected: false,
                has_arrived: false,
            };
        }
        let terms = EndpointTerms {
            endpoint: &reservation.endpoint,
            time_left_ms: work.left_ms(gateway.now_ms()),
            urgency: work.route.kind.is_stream().then_some(work.urgency),
            last_event_id,
            identity: work.identity.terms(),
        };
        match exchange(&mut connection, work.request(&terms)).await {
            Exchange::Response(response) => break response,
            Exchange::Lost(reason) => {
                reservation.outcome(false);
                if reason == LossReason::ConnectionBroke {
                    reservation.connection_broke();
                }
                return Attempted::Lost(reason);
            }
            // The endpoint had closed the idle connection.
            Exchange::NotWritten => {}
        }
        connection = match connect(gateway, &reservation, None).await {
            Ok(connection) => connection,
            Err(not_run) => return not_run,
        };
    };
    reservation.responded();
    if response.status() == StatusCode::SWITCHING_PROTOCOLS {
        reservation.outcome(false);
        return Attempted::Lost(LossReason::ProtocolSwitch);
    }
    let (parts, body) = response.into_parts();
    let head = EndpointAnswer::decode(parts.status, &parts.headers, &work.head.attempt_id);
    if !is_own_answer(&head, &connection) {
        reservation.outcome(false);
        return Attempted::Lost(LossReason::ForeignAnswer);
    }
    reservation.heard(&head, &work.head.attempt_id);
    let answered = Answered {
        parts,
        head,
        body,
        connection,
        reservation,
    };
    if answered.head.execution != Execution::MayHaveRun {
        work.refused_on.borrow_mut().push(answered.connection.local);
        return refused(gateway, answered).await;
    }
    Attempted::Answered(Box::new(answered))
}

/// Returns whether an answer belongs to the attempt that was sent.
///
/// One that names no attempt may be an earlier answer of the connection, written once more.
fn is_own_answer(answer: &EndpointAnswer, connection: &Connection) -> bool {
    match answer.attempt {
        NamedAttempt::Sent => true,
        NamedAttempt::Other => false,
        NamedAttempt::Absent => !connection.is_reused,
    }
}

/// Result of a request on one connection.
enum Exchange {
    /// The head of the answer has arrived.
    Response(Response<Incoming>),
    /// Nothing was written.
    NotWritten,
    /// The request may have run and its answer is lost.
    Lost(LossReason),
}

/// Sends a request on a connection and waits for the head of its answer.
async fn exchange(connection: &mut Connection, mut request: Request<Full<Bytes>>) -> Exchange {
    let interim = InterimLimit::default();
    interim.watch(&mut request);
    let sent = tokio::select! {
        sent = connection.sender.try_send_request(request) => sent,
        () = interim.exceeded() => return Exchange::Lost(LossReason::InterimAnswers),
    };
    let mut refused = match sent {
        Ok(response) => return Exchange::Response(response),
        Err(refused) => refused,
    };
    if refused.take_message().is_some() {
        return Exchange::NotWritten;
    }
    Exchange::Lost(LossReason::ConnectionBroke)
}

impl Answered {
    /// Returns the connection to the pool; the body must have been read whole.
    pub fn recycle(self, gateway: &Gateway) {
        recycle(gateway, &self.head, self.connection, &self.reservation);
    }
}

/// Returns a connection to the pool unless the endpoint closes it.
pub fn recycle(
    gateway: &Gateway,
    head: &EndpointAnswer,
    connection: Connection,
    reservation: &Reservation,
) {
    if !head.closes_connection {
        let now_ms = gateway.now_ms();
        let endpoint = &reservation.endpoint;
        gateway
            .pool
            .put(now_ms, endpoint, connection, head.idle_timeout_ms);
    }
}

/// Returns a pooled connection that `reusing` may use, if there is one, otherwise a new one.
///
/// If none can be opened, records the endpoint as unreachable and returns the failed attempt.
async fn connect(
    gateway: &Rc<Gateway>,
    reservation: &Reservation,
    reusing: Option<&CallerWork>,
) -> Result<Connection, Attempted> {
    let pooled = reusing.and_then(|work| {
        let except = work.refused_on.borrow();
        let endpoint = &reservation.endpoint;
        gateway.pool.take(gateway.now_ms(), endpoint, &except)
    });
    if let Some(connection) = pooled {
        return Ok(connection);
    }
    let not_run = Attempted::NotRun {
        reason: "endpoint takes no connection",
        is_misdirected: false,
        has_arrived: false,
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

/// Returns the result of an answer that says that the request did not run.
///
/// Reads a short body first, so that the connection can be reused, but does not wait long for it.
async fn refused(gateway: &Rc<Gateway>, answered: Answered) -> Attempted {
    let is_misdirected = answered.head.execution == Execution::Misdirected;
    let Answered {
        head,
        body,
        connection,
        reservation,
        ..
    } = answered;
    let read = Limited::new(body, REFUSAL_BYTES_MAX).collect();
    let read = tokio::time::timeout(Duration::from_millis(REFUSAL_READ_MS), read).await;
    if matches!(read, Ok(Ok(_))) {
        recycle(gateway, &head, connection, &reservation);
    }
    Attempted::NotRun {
        reason: if is_misdirected {
            "endpoint lacks the model or is another one"
        } else {
            "endpoint refused"
        },
        is_misdirected,
        has_arrived: true,
    }
}
