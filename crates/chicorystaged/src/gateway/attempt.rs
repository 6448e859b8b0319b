//! Sends a request once to a reserved endpoint and classifies the result.
//!
//! The classification decides whether a retry is safe: an attempt either has an answer, certainly
//! did not run, or may have run and lost its answer.

use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicorystage_api::name::Digest;
use chicorystage_borders::http::InterimLimit;
use chicorystage_core::deployment::Route;
use chicorystage_core::latency::{WaitReason, WaitTimes};
use chicorystage_core::teams::Rank;
use chicorystage_platform::caller_request::CallerRequest;
use chicorystage_platform::endpoint_answer::{EndpointAnswer, Execution, NamedAttempt};
use chicorystage_platform::endpoint_request::{self, EndpointTerms, Identity};
use displaydoc::Display;
use http::{HeaderMap, Method, Request, Response, Uri, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use crate::gateway::body_budget::BodyShare;
use crate::gateway::connection::Connection;
use crate::gateway::loss_reason::LossReason;
use crate::gateway::reservation::Reservation;
use crate::gateway::shared::Gateway;
use crate::gateway::teams::TeamRequest;

/// Largest refusal body that is read to make its connection reusable, in bytes.
const REFUSAL_BYTES_MAX: usize = 4 << 10;
/// Longest wait for the whole body of a refusal, in milliseconds.
const REFUSAL_READ_MS: u64 = 50;

/// the endpoint's answer broke off
#[derive(Clone, Copy, Debug, Display)]
pub struct AnswerBroken;

impl std::error::Error for AnswerBroken {}

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

/// Whom a request belongs to.
#[derive(Debug)]
pub enum CallerIdentity {
    /// The configuration lists no teams.
    NoTeams,
    /// The request needs no key and belongs to no team.
    Open,
    /// A team, by its key.
    Team(TeamRequest),
}

impl CallerIdentity {
    /// Returns the team's request; `None` without a team.
    #[must_use]
    pub fn team(&self) -> Option<&TeamRequest> {
        match self {
            Self::Team(team) => Some(team),
            Self::NoTeams | Self::Open => None,
        }
    }

    /// Records whether an endpoint may have run the request.
    pub fn sent(&self, may_have_run: bool) {
        if let Some(team) = self.team() {
            team.sent(may_have_run);
        }
    }

    fn terms(&self) -> Identity<'_> {
        match self {
            Self::NoTeams => Identity::Unchecked,
            Self::Open => Identity::Checked(None),
            Self::Team(team) => Identity::Checked(Some(team.team.name.as_str())),
        }
    }
}

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
    fn request(&self, terms: &EndpointTerms<'_>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = endpoint_request::encode(&self.headers, terms);
        request
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
