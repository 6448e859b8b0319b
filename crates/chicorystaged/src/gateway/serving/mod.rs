//! Serves one request: reserves an endpoint, sends the request and relays the answer.
//!
//! [`Serving::run`] repeats these steps until an endpoint answers, the request fails for good, or
//! its time is over. Short answers are buffered whole, so that a failure within one can still be
//! retried; streams and long answers are relayed as they arrive.

mod answer_reading;
mod demand;
mod failed_answer;
mod failure;
mod origin;
mod run_limit;
mod short_body;

pub use self::demand::Wanted;

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use chicorystage_api::name::{EndpointId, ServiceName};
use chicorystage_borders::http::BodyFraming;
use chicorystage_core::admission::{limited_wait_ms, max_wait_ms};
use chicorystage_core::deployment::Configuration;
use chicorystage_core::fleet::{Choice, Requirements};
use chicorystage_core::latency::{AnswerTimes, WaitReason};
use chicorystage_platform::endpoint_answer;
use http::header::CONTENT_LENGTH;
use http::{Response, StatusCode};

use crate::gateway::answer_body::{AnswerBody, relayed};
use crate::gateway::attempt::{self, Answered, Attempted};
use crate::gateway::caller_work::CallerWork;
use crate::gateway::crash_checks::AnswerProgress;
use crate::gateway::event_stream::consists_of_events;
use crate::gateway::in_progress::InProgress;
use crate::gateway::lateness::late_cause;
use crate::gateway::loss_reason::LossReason;
use crate::gateway::own_responses::text_response;
use crate::gateway::poison;
use crate::gateway::prompt_parts;
use crate::gateway::relay;
use crate::gateway::reservation::Reservation;
use crate::gateway::retry_permit::RetryPermit;
use crate::gateway::serving::answer_reading::ReadAnswer;
use crate::gateway::serving::failed_answer::FailedAnswer;
use crate::gateway::serving::failure::AfterFailure;
use crate::gateway::shared::Gateway;
use crate::gateway::teams::{self, TeamRequest};
use crate::metrics::RequestOutcome;

/// A caller's request together with its count of attempts and runs.
#[derive(Debug)]
pub struct Serving {
    gateway: Rc<Gateway>,
    work: CallerWork,
    /// Number of attempts that may have run the request.
    runs: u32,
    /// Number of attempts, including those that endpoints refused.
    attempts: u32,
    /// Last server error, which the caller gets if no other attempt is answered.
    failed: RefCell<Option<FailedAnswer>>,
}

impl Serving {
    /// Creates the state of a request that no endpoint has received yet.
    #[must_use]
    pub fn new(gateway: Rc<Gateway>, work: CallerWork) -> Self {
        Self {
            gateway,
            work,
            runs: 0,
            attempts: 0,
            failed: RefCell::default(),
        }
    }

    /// Sends the request to endpoints until one answers or the request fails for good.
    ///
    /// `in_progress` counts the request until `run` returns or, for a relayed answer, until the
    /// relay ends.
    pub async fn run(
        mut self,
        configuration: &Configuration,
        in_progress: InProgress,
    ) -> Response<AnswerBody> {
        let Some(mut requirements) = self.requirements(configuration) else {
            return text_response(StatusCode::NOT_FOUND, "no such model");
        };
        let service = &requirements.service;
        if poison::is_quarantined(&self.gateway, &self.work, service)
            && !poison::begin_trial(&self.gateway, &self.work, service)
        {
            return self.quarantine_response();
        }
        if let Err(refused) = self.find_origin(&mut requirements).await {
            return *refused;
        }
        self.record_demand(&requirements);
        let mut retry_in_flight: Option<RetryPermit> = None;
        loop {
            let reservation = tokio::select! {
                biased;
                () = self.quarantined(&requirements) => return self.quarantine_response(),
                reservation = self.wait_for_endpoint(&requirements) => reservation,
            };
            let reservation = match reservation {
                Ok(reservation) => reservation,
                Err(missing) => return self.final_refusal(&requirements, &missing),
            };
            if self.is_withdrawn() {
                return self.withdrawn_response(configuration.version);
            }
            self.attempts += 1;
            let endpoint = reservation.endpoint.clone();
            let sent = attempt::send(&self.gateway, reservation, &self.work, None);
            let sent = self.within_run_limit(&requirements, &endpoint, sent);
            let sent = tokio::select! {
                sent = sent => sent,
                () = self.gateway.aborting() => None,
                // An endpoint that has not begun to run the request is spared.
                () = self.quarantined(&requirements) => return self.quarantine_response(),
            };
            if sent.as_ref().is_none_or(Attempted::was_sent) {
                self.gateway.metrics.count_sent(&requirements.service);
            }
            let attempted = match sent {
                Some(Attempted::Answered(answered)) => match self.read_answer(answered).await {
                    ReadAnswer::Whole(response, framing) => {
                        let status = response.status();
                        self.record_proof(status, framing, &endpoint, &requirements.service);
                        return self.record_answer(response, framing, &endpoint);
                    }
                    ReadAnswer::Stream(answered, read) => {
                        return self.relay_answer(answered, read, requirements, in_progress);
                    }
                    ReadAnswer::Failed(response, framing) => {
                        let status = response.status();
                        self.record_proof(status, framing, &endpoint, &requirements.service);
                        self.failed.replace(Some(FailedAnswer {
                            response,
                            framing,
                            endpoint: endpoint.clone(),
                        }));
                        Attempted::Lost(LossReason::ServerError)
                    }
                    ReadAnswer::Lost(reason) => Attempted::Lost(reason),
                },
                Some(other) => other,
                None => {
                    self.record_outcome(&endpoint, false);
                    Attempted::Lost(LossReason::NoAnswerInTime)
                }
            };
            // An earlier retry has failed, so that it is settled before the next is taken.
            drop(retry_in_flight.take());
            let after = self
                .handle_failure(attempted, &endpoint, &mut requirements)
                .await;
            match after {
                AfterFailure::Retry(permit) => retry_in_flight = permit,
                AfterFailure::End(response) => return response,
            }
        }
    }

    /// Waits until the request or a part of its prompt is quarantined.
    async fn quarantined(&self, requirements: &Requirements) {
        poison::quarantined(&self.gateway, &self.work, &requirements.service).await;
    }

    /// Returns the final error of a request that crashes endpoints.
    fn quarantine_response(&self) -> Response<AnswerBody> {
        self.gateway
            .metrics
            .count_request(&self.work.route.name, RequestOutcome::Refused);
        log::info!(
            event = "request_refused", request = self.work.head.attempt_id.as_str(),
            lacking = "quarantine", attempts = self.attempts, runs = self.runs;
            "request refused"
        );
        text_response(
            StatusCode::INTERNAL_SERVER_ERROR,
            "request breaks endpoints",
        )
    }

    /// Returns whether the request's key was withdrawn while it waited.
    fn is_withdrawn(&self) -> bool {
        let team = self.work.identity.team();
        team.is_some_and(TeamRequest::is_withdrawn)
    }

    /// Returns the final error of a request whose key was withdrawn.
    fn withdrawn_response(&self, version: u64) -> Response<AnswerBody> {
        if self.runs > 0 {
            return self.lost_response(self.gateway.now_ms());
        }
        self.gateway
            .metrics
            .count_request(&self.work.route.name, RequestOutcome::Refused);
        teams::refuse_key(&self.work.head, version)
    }

    /// Reserves an endpoint, waiting at most until the caller is likely to abandon the request.
    ///
    /// # Errors
    ///
    /// Returns why no endpoint can be reserved, once that time is over or the gateway closes.
    async fn wait_for_endpoint(&self, requirements: &Requirements) -> Result<Reservation, Choice> {
        let route = &self.work.route;
        let missing = match self.gateway.reserve(requirements) {
            Ok(reservation) => {
                self.gateway.metrics.wait_ms(&route.name, 0);
                return Ok(reservation);
            }
            Err(missing) => missing,
        };
        let now_ms = self.gateway.now_ms();
        let allowed_ms = self.work.ends_ms - self.work.arrived_ms;
        let mut until_ms = self.work.arrived_ms + max_wait_ms(route, allowed_ms);
        if missing == Choice::Limited {
            until_ms = until_ms.min(now_ms + limited_wait_ms(route));
        }
        let granted =
            self.gateway
                .wait_for_endpoint(requirements, &missing, self.work.rank, until_ms);
        let granted = tokio::select! {
            granted = granted => granted,
            () = self.gateway.closing() => None,
        };
        let wait_ms = self.gateway.now_ms() - now_ms;
        if let Some(reason) = WaitReason::of(&missing) {
            self.work.record_wait(reason, wait_ms);
        }
        self.gateway.metrics.wait_ms(&route.name, wait_ms);
        if let Some(reservation) = granted {
            return Ok(reservation);
        }
        self.gateway.reserve(requirements)
    }

    /// Records at an endpoint whether it served the request well.
    fn record_outcome(&self, endpoint: &EndpointId, is_good: bool) {
        let now_ms = self.gateway.now_ms();
        self.gateway.with_endpoint(endpoint, |endpoint| {
            endpoint.outcome(now_ms, is_good);
        });
    }

    /// Returns the response that relays an answer as it arrives.
    ///
    /// `read` is what has been read of the body already.
    fn relay_answer(
        self,
        answered: Box<Answered>,
        read: Bytes,
        requirements: Requirements,
        in_progress: InProgress,
    ) -> Response<AnswerBody> {
        let status = answered.parts.status;
        let mut headers = endpoint_answer::forwarded_headers(&answered.parts.headers);
        if consists_of_events(&self.work.route, &answered.parts) {
            // Another endpoint may go on with events of other lengths.
            headers.remove(CONTENT_LENGTH);
        }
        let runs = self.runs + 1;
        let gateway = Rc::clone(&self.gateway);
        gateway
            .metrics
            .count_request(&self.work.route.name, RequestOutcome::Answered);
        let frames = relay::relay(
            gateway,
            self.work,
            requirements,
            answered,
            read,
            runs,
            in_progress,
        );
        let mut response = Response::new(relayed(frames));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// Records that an answer proves its request sound, if its endpoint has not ended with it.
    fn record_proof(
        &self,
        status: StatusCode,
        framing: BodyFraming,
        endpoint: &EndpointId,
        service: &ServiceName,
    ) {
        let is_success = status.is_success();
        if is_success && !framing.is_end_marked() {
            self.check_for_crash(endpoint, service, AnswerProgress::Ended);
            return;
        }
        poison::record_answer(&self.gateway, &self.work);
        if is_success {
            let parts = &self.work.head.shared_parts;
            prompt_parts::record_sound(&self.gateway, service, parts);
        }
    }

    /// Records a buffered answer in metrics and log, and returns it.
    fn record_answer(
        &self,
        response: Response<AnswerBody>,
        framing: BodyFraming,
        endpoint: &EndpointId,
    ) -> Response<AnswerBody> {
        let route = &self.work.route.name;
        let answer_ms = self.gateway.now_ms() - self.work.arrived_ms;
        self.gateway
            .metrics
            .count_request(route, RequestOutcome::Answered);
        self.gateway.metrics.answer_ms(route, answer_ms);
        let times = AnswerTimes {
            waits: self.work.waits.get(),
            first_ms: answer_ms,
            pause_max_ms: 0,
        };
        let late = late_cause(&self.gateway, &self.work.route, &times);
        log::info!(
            event = "request_answered", request = self.work.head.attempt_id.as_str(),
            route = route.as_ref(), status = response.status().as_u16(),
            endpoint = endpoint.as_str(), framing:%, attempts = self.attempts,
            runs = self.runs, wait_ms = times.waits.total_ms(), late, time_ms = answer_ms;
            "request answered"
        );
        response
    }
}
