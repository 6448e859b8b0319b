//! Receives a caller's request: decodes its head, finds its route and reads its body.
//!
//! A request that passes these steps goes on to [`Serving`].

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use chicorystage_core::deployment::Configuration;
use chicorystage_core::teams::Rank;
use chicorystage_platform::caller_request::CallerRequest;
use http::header::HOST;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::gateway::answer_body::AnswerBody;
use crate::gateway::body_reading::{self, ReadBody, UnreadBody, read_body};
use crate::gateway::caller_identity::CallerIdentity;
use crate::gateway::caller_work::CallerWork;
use crate::gateway::in_progress::InProgress;
use crate::gateway::own_responses::{refuse_at_gateway, text_response};
use crate::gateway::serving::Serving;
use crate::gateway::shared::Gateway;
use crate::gateway::teams::{self, TeamRequest};

/// Urgency of the most urgent streams.
const URGENCY_FIRST: u8 = 3;
/// Largest urgency number, for the least urgent streams.
const URGENCY_LAST: u8 = 9;

/// Serves one request with a decoded head and returns the response to the caller.
pub async fn serve(
    gateway: Rc<Gateway>,
    mut request: Request<Incoming>,
    head: CallerRequest,
) -> Response<AnswerBody> {
    let in_progress = InProgress::begin(&gateway);
    let arrived_ms = gateway.now_ms();
    if *gateway.closing.borrow() {
        return refuse_at_gateway(&head, "stopping");
    }
    let Some(configuration) = gateway.configuration() else {
        return refuse_at_gateway(&head, "configuration");
    };
    let host = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok());
    let host = host.or_else(|| request.uri().host()).unwrap_or_default();
    let route = configuration.route(host, request.uri().path()).cloned();
    let Some(route) = route else {
        log::info!(
            event = "no_route", request = head.attempt_id.as_str(), host,
            path = request.uri().path(), version = configuration.version;
            "no route"
        );
        return text_response(StatusCode::NOT_FOUND, "no route");
    };
    let headers = request.headers_mut();
    let team = match teams::admit(&gateway, &configuration, &route, &head, headers).await {
        Ok(team) => team,
        Err(refused) => return *refused,
    };
    let allowed_ms = head.deadline_ms.unwrap_or(route.timeout_ms);
    let ends_ms = arrived_ms + allowed_ms.min(route.timeout_ms);
    let (parts, body) = request.into_parts();
    let limit = Duration::from_millis(ends_ms - arrived_ms);
    let reading = read_body(
        body,
        configuration.limits.body_bytes_max,
        &gateway.body_budget,
    );
    let ReadBody { bytes: body, share } = match tokio::time::timeout(limit, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(UnreadBody::NoMemory(body))) => {
            body_reading::discard(body, ends_ms - arrived_ms);
            return refuse_at_gateway(&head, "memory for bodies");
        }
        Ok(Err(UnreadBody::TooLarge)) => {
            return refuse_body(&head, StatusCode::PAYLOAD_TOO_LARGE, "body too large");
        }
        Ok(Err(UnreadBody::BrokenOff)) => {
            return refuse_body(&head, StatusCode::BAD_REQUEST, "body broke off");
        }
        Err(_elapsed) => {
            let reason = "body not received in time";
            return refuse_body(&head, StatusCode::REQUEST_TIMEOUT, reason);
        }
    };
    // The body may have arrived so late in a stop that the answer would be cut.
    if gateway.may_stop_before(ends_ms) {
        return refuse_at_gateway(&head, "stopping");
    }
    let rank = configuration.rank(&route, team.as_ref().map(|team| team.team.as_ref()));
    let work = CallerWork {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        is_trial: Cell::new(false),
        body_share: Some(share),
        identity: team_identity(&configuration, team),
        rank,
        urgency: urgency(rank, configuration.route_priorities()),
        head,
        route,
        arrived_ms,
        ends_ms,
        waits: Cell::default(),
        digest: OnceCell::new(),
        refused_on: RefCell::default(),
        attempt_began_ms: Cell::new(arrived_ms),
    };
    Serving::new(gateway, work)
        .run(&configuration, in_progress)
        .await
}

fn team_identity(configuration: &Configuration, team: Option<TeamRequest>) -> CallerIdentity {
    match team {
        Some(team) => CallerIdentity::Team(team),
        None if configuration.teams.is_empty() => CallerIdentity::NoTeams,
        None => CallerIdentity::Open,
    }
}

/// Returns the urgency that engines are told for a rank, 0 the highest, where routes have
/// `route_priorities` priorities.
fn urgency(rank: Rank, route_priorities: u8) -> u8 {
    let level = rank.team.saturating_mul(route_priorities);
    let urgency = URGENCY_FIRST
        .saturating_add(level)
        .saturating_add(rank.route);
    urgency.min(URGENCY_LAST)
}

/// Logs and refuses a request whose body cannot be taken.
fn refuse_body(
    head: &CallerRequest,
    status: StatusCode,
    reason: &'static str,
) -> Response<AnswerBody> {
    log::info!(
        event = "request_refused", request = head.attempt_id.as_str(), lacking = reason,
        status = status.as_u16();
        "request refused"
    );
    text_response(status, reason)
}
