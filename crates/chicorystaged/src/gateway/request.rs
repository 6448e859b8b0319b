//! One request of a caller, from its head to its answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicorystage_api::name::EndpointId;
use chicorystage_core::admission::{come_back_ms, patience_ms};
use chicorystage_core::deployment::{Configuration, Route, RouteKind};
use chicorystage_core::fleet::{Choice, Want};
use chicorystage_core::orders::AdapterRef;
use chicorystage_platform::caller_request::CallerRequest;
use chicorystage_platform::endpoint_answer;
use http::header::{CONTENT_LENGTH, HOST, RETRY_AFTER};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

use crate::gateway::answer_body::{AnswerBody, streamed, whole};
use crate::gateway::attempt::{self, Answered, Attempted, CallerWork};
use crate::gateway::event_stream;
use crate::gateway::poison;
use crate::gateway::reservation::Reservation;
use crate::gateway::shared::Gateway;
use crate::metrics::RequestOutcome;

/// Attempts at endpoints that one request makes at most, refused ones included.
const ATTEMPTS_MAX: u32 = 4;
/// Largest answer that is read whole before it is passed on, in bytes.
const WHOLE_BYTES_MAX: u64 = 64 << 10;
/// Time after which a caller comes back where nothing better is known, in milliseconds.
const COME_BACK_MS: u64 = 500;
/// Pause before an endpoint is asked again that lacked an adapter, in milliseconds.
const ADAPTER_PAUSE_MS: u64 = 10;
/// Part of the time left that one of several runs may take.
const RUN_TIME_PART: f64 = 0.45;
const MS_PER_S: f64 = 1_000.0;

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub struct InProgress {
    gateway: Rc<Gateway>,
}

impl InProgress {
    fn begin(gateway: &Rc<Gateway>) -> Self {
        gateway.with(|view| view.in_progress += 1);
        Self {
            gateway: Rc::clone(gateway),
        }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.gateway.with(|view| view.in_progress -= 1);
    }
}

/// Answers one request.
pub async fn serve(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
    let in_progress = InProgress::begin(&gateway);
    let arrived_ms = gateway.now_ms();
    let head = CallerRequest::decode(request.headers());
    if *gateway.closing.borrow() {
        return untaken(&head, "stopping");
    }
    let Some(configuration) = gateway.configuration() else {
        return untaken(&head, "configuration");
    };
    let host = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok());
    let host = host.or_else(|| request.uri().host()).unwrap_or_default();
    let Some(route) = configuration.route(host, request.uri().path()).cloned() else {
        log::info!(
            event = "no_route", request = head.attempt_id.as_str(), host,
            path = request.uri().path(), version = configuration.version;
            "no route"
        );
        return plain(StatusCode::NOT_FOUND, "no route");
    };
    let allowed_ms = head.deadline_ms.unwrap_or(route.timeout_ms);
    let ends_ms = arrived_ms + allowed_ms.min(route.timeout_ms);
    let (parts, body) = request.into_parts();
    let limit = Duration::from_millis(ends_ms - arrived_ms);
    let body = read_body(body, configuration.limits.body_bytes_max);
    let body = match tokio::time::timeout(limit, body).await {
        Ok(Ok(body)) => body,
        Ok(Err(refused)) => return *refused,
        Err(_elapsed) => return plain(StatusCode::REQUEST_TIMEOUT, "body not received in time"),
    };
    let work = CallerWork {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        head,
        route,
        arrived_ms,
        ends_ms,
    };
    Serving {
        gateway,
        work,
        runs: 0,
        attempts: 0,
    }
    .run(&configuration, in_progress)
    .await
}

async fn read_body(body: Incoming, bytes_max: usize) -> Result<Bytes, Box<Response<AnswerBody>>> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    match Limited::new(body, bytes_max).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Box::new(plain(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body too large",
        ))),
        Err(_broken) => Err(Box::new(plain(StatusCode::BAD_REQUEST, "body broke off"))),
    }
}

/// A request on its way through endpoints.
struct Serving {
    gateway: Rc<Gateway>,
    work: CallerWork,
    /// Endpoints that may have run the request.
    runs: u32,
    /// Endpoints that were tried.
    attempts: u32,
}

impl Serving {
    async fn run(
        mut self,
        configuration: &Configuration,
        in_progress: InProgress,
    ) -> Response<AnswerBody> {
        let Some(mut want) = self.want(configuration) else {
            return plain(StatusCode::NOT_FOUND, "no such model");
        };
        if poison::is_quarantined(&self.gateway, &self.work) {
            log::info!(
                event = "request_refused", request = self.work.head.attempt_id.as_str(),
                lacking = "quarantine";
                "request refused"
            );
            return plain(
                StatusCode::INTERNAL_SERVER_ERROR,
                "request breaks endpoints",
            );
        }
        self.count(&want);
        loop {
            let reservation = match self.reservation(&want).await {
                Ok(reservation) => reservation,
                Err(lacking) => return self.give_up(&lacking),
            };
            self.attempts += 1;
            let endpoint = reservation.endpoint.clone();
            let limit = Duration::from_millis(self.run_limit_ms());
            let sent = attempt::send(&self.gateway, reservation, &self.work, None);
            let sent = tokio::select! {
                sent = tokio::time::timeout(limit, sent) => sent.ok(),
                () = self.gateway.ending() => None,
            };
            let attempted = match sent {
                Some(Attempted::Answered(answered)) => match self.answer(answered).await {
                    Read::Answer(response) => return self.passed(response, None),
                    Read::Stream(answered) => {
                        return self.stream(answered, want, in_progress);
                    }
                    Read::Lost(reason) => Attempted::Lost { reason },
                },
                Some(other) => other,
                None => {
                    self.mark(&endpoint, false);
                    Attempted::Lost {
                        reason: "no answer in time",
                    }
                }
            };
            if let Some(response) = self.after_failure(attempted, &endpoint, &mut want).await {
                return response;
            }
        }
    }

    /// Returns what the request needs; none where its model is not served.
    fn want(&self, configuration: &Configuration) -> Option<Want> {
        let service = self.work.route.service(rand::random::<u64>())?.clone();
        let engine = configuration
            .service(&service)
            .and_then(|service| service.engine.clone());
        let head = &self.work.head;
        let (model, adapter) = match engine {
            Some(engine) => {
                let model = head.model.clone()?;
                engine.models.get(&model)?;
                (Some(model), head.adapter.clone())
            }
            None => (None, None),
        };
        Some(Want {
            service,
            model,
            adapter,
            avoid: Vec::new(),
        })
    }

    fn count(&self, want: &Want) {
        let now_ms = self.work.arrived_ms;
        let objective_ms = self.work.route.objective_ms;
        self.gateway.with(|view| {
            view.budget.first_try(now_ms);
            let Some(model) = &want.model else {
                return;
            };
            view.demand.asked(now_ms, model, 1, objective_ms);
            let asked = view.asked.entry(model.clone()).or_insert((0, objective_ms));
            asked.0 += 1;
            asked.1 = asked.1.min(objective_ms);
            if let Some(adapter) = &want.adapter {
                let adapter = AdapterRef {
                    model: model.clone(),
                    adapter: adapter.clone(),
                };
                view.demand.adapter_asked(now_ms, &adapter);
                view.asked_adapters.push((adapter.model, adapter.adapter));
            }
        });
    }

    /// Waits for an endpoint as long as the caller is likely to wait.
    async fn reservation(&self, want: &Want) -> Result<Reservation, Choice> {
        let now_ms = self.gateway.now_ms();
        let allowed_ms = self.work.ends_ms - self.work.arrived_ms;
        let until_ms = self.work.arrived_ms + patience_ms(&self.work.route, allowed_ms);
        let limit = Duration::from_millis(until_ms.saturating_sub(now_ms));
        let rank = self.work.route.priority;
        let granted = self.gateway.reserve_or_wait(want, rank, &self.work.route);
        let granted = tokio::select! {
            granted = tokio::time::timeout(limit, granted) => granted.ok().flatten(),
            () = self.gateway.closing() => None,
        };
        let wait_ms = self.gateway.now_ms() - now_ms;
        self.gateway.metrics.wait_ms(&self.work.route.name, wait_ms);
        if let Some(reservation) = granted {
            return Ok(reservation);
        }
        match self.gateway.reserve(want) {
            Ok(reservation) => Ok(reservation),
            Err(lacking) => Err(lacking),
        }
    }

    /// Returns the time that this run may take until its head arrives, in milliseconds.
    fn run_limit_ms(&self) -> u64 {
        let left_ms = self.work.left_ms(self.gateway.now_ms());
        let is_last = self.runs + 1 >= self.work.route.runs_max;
        if self.work.route.kind != RouteKind::Idempotent || is_last {
            return left_ms;
        }
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a part of a time left that is far below the mantissa"
        )]
        let part_ms = (left_ms as f64 * RUN_TIME_PART) as u64;
        part_ms
    }

    /// Decides what follows a failed attempt; none to try again.
    async fn after_failure(
        &mut self,
        attempted: Attempted,
        endpoint: &EndpointId,
        want: &mut Want,
    ) -> Option<Response<AnswerBody>> {
        let now_ms = self.gateway.now_ms();
        match attempted {
            Attempted::Answered(_) => None,
            Attempted::NotRun {
                reason,
                is_misdirected,
            } => {
                self.gateway.metrics.attempt("not_run");
                log::info!(
                    event = "attempt_refused", request = self.work.head.attempt_id.as_str(),
                    endpoint = endpoint.as_str(), reason, attempts = self.attempts;
                    "endpoint did not run the request"
                );
                if is_misdirected && want.model.is_some() {
                    self.denied(endpoint, want, now_ms);
                } else {
                    self.refused(endpoint, now_ms);
                    want.avoid.push(endpoint.clone());
                }
                let may_retry = self.attempts < ATTEMPTS_MAX && self.take_retry(now_ms);
                if !may_retry {
                    return Some(self.give_up(&Choice::Full));
                }
                if is_misdirected {
                    tokio::time::sleep(Duration::from_millis(ADAPTER_PAUSE_MS)).await;
                }
                None
            }
            Attempted::Lost { reason } => {
                self.runs += 1;
                if let (attempt::CONNECTION_BROKE, Some(address)) =
                    (reason, self.gateway.address_of(endpoint))
                {
                    poison::broke(&self.gateway, &self.work, address);
                }
                self.gateway.metrics.attempt("lost");
                want.avoid.push(endpoint.clone());
                let may_repeat = self.work.route.kind.is_repeatable()
                    && self.runs < self.work.route.runs_max
                    && self.work.left_ms(now_ms) > 0
                    && !*self.gateway.ending.borrow()
                    && self.take_retry(now_ms);
                log::warn!(
                    event = "attempt_lost", request = self.work.head.attempt_id.as_str(),
                    endpoint = endpoint.as_str(), reason, repeated = may_repeat, runs = self.runs;
                    "an endpoint's answer is lost"
                );
                (!may_repeat).then(|| self.lost(now_ms))
            }
        }
    }

    fn lost(&self, now_ms: u64) -> Response<AnswerBody> {
        let route = &self.work.route.name;
        if self.work.left_ms(now_ms) == 0 {
            self.gateway
                .metrics
                .request(route, RequestOutcome::TimedOut);
            return plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time");
        }
        self.gateway.metrics.request(route, RequestOutcome::Lost);
        plain(StatusCode::BAD_GATEWAY, "answer lost")
    }

    /// Refuses a request that no endpoint has run.
    fn give_up(&self, lacking: &Choice) -> Response<AnswerBody> {
        let now_ms = self.gateway.now_ms();
        if self.runs > 0 {
            return self.lost(now_ms);
        }
        let left_ms = self.work.head.deadline_ms.map_or(0, |deadline_ms| {
            (self.work.arrived_ms + deadline_ms).saturating_sub(now_ms)
        });
        let back_ms = come_back_ms(COME_BACK_MS, left_ms);
        self.gateway
            .metrics
            .request(&self.work.route.name, RequestOutcome::Refused);
        log::info!(
            event = "request_refused", request = self.work.head.attempt_id.as_str(),
            route = self.work.route.name.as_ref(), lacking:? = lacking,
            model = self.work.head.model.as_ref().map_or("", |model| model.as_str()),
            adapter = self.work.head.adapter.as_ref().map_or("", |adapter| adapter.as_str()),
            attempts = self.attempts, waited_ms = now_ms - self.work.arrived_ms, back_ms;
            "request refused"
        );
        not_run("no endpoint has room", back_ms)
    }

    fn denied(&self, endpoint: &EndpointId, want: &Want, now_ms: u64) {
        let Some(model) = want.model.clone() else {
            return;
        };
        self.gateway.with(|view| {
            if let Some(endpoint) = view.fleet.get_mut(endpoint) {
                endpoint.denied(now_ms, model, want.adapter.clone());
            }
        });
        self.gateway.want_changed.notify_one();
    }

    fn refused(&self, endpoint: &EndpointId, now_ms: u64) {
        self.gateway.with(|view| {
            if let Some(endpoint) = view.fleet.get_mut(endpoint) {
                endpoint.refused(now_ms);
            }
        });
    }

    fn mark(&self, endpoint: &EndpointId, is_good: bool) {
        let now_ms = self.gateway.now_ms();
        self.gateway.with(|view| {
            if let Some(endpoint) = view.fleet.get_mut(endpoint) {
                endpoint.outcome(now_ms, is_good);
            }
        });
    }

    fn take_retry(&self, now_ms: u64) -> bool {
        self.gateway.with(|view| {
            let gateways = view.gateways();
            view.budget.take(now_ms, gateways)
        })
    }

    /// Reads a short answer whole; leaves streams and long answers to be passed on.
    async fn answer(&self, answered: Box<Answered>) -> Read {
        let is_stream = self.work.route.kind.is_stream() && answered.parts.status.is_success();
        let length = answered.body.size_hint().exact();
        if is_stream || length.is_none_or(|length| length > WHOLE_BYTES_MAX) {
            return Read::Stream(answered);
        }
        let Answered {
            parts,
            head,
            body,
            connection,
            reservation,
        } = *answered;
        let limit = Duration::from_millis(self.work.left_ms(self.gateway.now_ms()));
        let Ok(Ok(body)) = tokio::time::timeout(limit, body.collect()).await else {
            reservation.outcome(false);
            return Read::Lost("answer broke off");
        };
        attempt::recycle(&self.gateway, &head, connection, &reservation);
        let is_failure = parts.status.is_server_error();
        reservation.outcome(!is_failure);
        let may_repeat =
            self.work.route.kind.is_repeatable() && self.runs + 1 < self.work.route.runs_max;
        if is_failure && may_repeat {
            return Read::Lost("endpoint failed");
        }
        let mut response = Response::new(whole(body.to_bytes()));
        *response.status_mut() = parts.status;
        *response.headers_mut() = endpoint_answer::passed_on(&parts.headers);
        response.headers_mut().remove(CONTENT_LENGTH);
        Read::Answer(response)
    }

    fn stream(
        self,
        answered: Box<Answered>,
        want: Want,
        in_progress: InProgress,
    ) -> Response<AnswerBody> {
        let status = answered.parts.status;
        let headers = endpoint_answer::passed_on(&answered.parts.headers);
        let runs = self.runs + 1;
        let gateway = Rc::clone(&self.gateway);
        gateway
            .metrics
            .request(&self.work.route.name, RequestOutcome::Answered);
        let frames = event_stream::pass_on(gateway, self.work, want, answered, runs, in_progress);
        let mut response = Response::new(streamed(frames));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    fn passed(
        &self,
        response: Response<AnswerBody>,
        endpoint: Option<&str>,
    ) -> Response<AnswerBody> {
        let route = &self.work.route.name;
        let answer_ms = self.gateway.now_ms() - self.work.arrived_ms;
        self.gateway
            .metrics
            .request(route, RequestOutcome::Answered);
        self.gateway.metrics.answer_ms(route, answer_ms);
        poison::answered(&self.gateway, &self.work);
        log_passed(self, response.status(), endpoint);
        response
    }
}

/// An answer as far as it was read.
enum Read {
    /// The answer is whole.
    Answer(Response<AnswerBody>),
    /// The answer is to be passed on as it arrives.
    Stream(Box<Answered>),
    /// The answer is lost or not good enough.
    Lost(&'static str),
}

impl Gateway {
    /// Reserves an endpoint, waiting for one as long as the future is polled.
    pub async fn reserve_or_wait(
        self: &Rc<Self>,
        want: &Want,
        rank: u8,
        route: &Arc<Route>,
    ) -> Option<Reservation> {
        if let Ok(reservation) = self.reserve(want) {
            return Some(reservation);
        }
        self.wait(want.clone(), rank, route.objective_ms).await.ok()
    }
}

fn log_passed(serving: &Serving, status: StatusCode, endpoint: Option<&str>) {
    let work = &serving.work;
    log::info!(
        event = "request_answered", request = work.head.attempt_id.as_str(),
        route = work.route.name.as_ref(), status = status.as_u16(),
        endpoint = endpoint.unwrap_or_default(), attempts = serving.attempts, runs = serving.runs,
        time_ms = serving.gateway.now_ms() - work.arrived_ms;
        "request answered"
    );
}

/// Refuses a request that this gateway cannot take at all.
fn untaken(head: &CallerRequest, lacking: &'static str) -> Response<AnswerBody> {
    log::info!(
        event = "request_refused", request = head.attempt_id.as_str(), lacking;
        "request refused"
    );
    let left_ms = head.deadline_ms.unwrap_or(0);
    not_run(
        "gateway takes no requests now",
        come_back_ms(COME_BACK_MS, left_ms),
    )
}

/// Returns the refusal of a request that has not run and will not.
fn not_run(reason: &'static str, back_ms: u64) -> Response<AnswerBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, reason);
    #[expect(
        clippy::cast_precision_loss,
        reason = "delays are far below the mantissa"
    )]
    let seconds = format!("{:.3}", back_ms as f64 / MS_PER_S);
    if let Ok(seconds) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

fn plain(status: StatusCode, reason: &'static str) -> Response<AnswerBody> {
    let mut response = Response::new(whole(Bytes::from_static(reason.as_bytes())));
    *response.status_mut() = status;
    response
}
