//! Handling of failed attempts: retry the request or send the caller a final error.
//!
//! An attempt that an endpoint refused did not run and may be retried on any route. An attempt
//! whose answer is lost may have run; it is retried only where the route allows repeated runs. Both
//! kinds draw on the shared retry budget, unless the request never reached the endpoint.

use std::time::Duration;

use chicorystage_api::name::{EndpointId, ServiceName};
use chicorystage_core::admission::retry_delay_ms;
use chicorystage_core::fleet::{Choice, Requirements};
use http::{Response, StatusCode};

use crate::gateway::answer_body::AnswerBody;
use crate::gateway::attempt::Attempted;
use crate::gateway::crash_checks::{self, AnswerProgress, BrokenAttempt};
use crate::gateway::loss_reason::LossReason;
use crate::gateway::own_responses::{RETRY_AFTER_DEFAULT_MS, refusal, text_response};
use crate::gateway::retry_permit::RetryPermit;
use crate::gateway::serving::Serving;
use crate::metrics::RequestOutcome;

/// Largest number of attempts for one request, including refused ones.
const ATTEMPTS_MAX: u32 = 4;
/// Pause before the next attempt after an endpoint was missing the model or adapter, in
/// milliseconds.
const MISDIRECTED_PAUSE_MS: u64 = 10;

/// An attempt that certainly did not run; fields are as in [`Attempted::NotRun`].
struct AttemptRefusal {
    reason: &'static str,
    is_misdirected: bool,
    has_arrived: bool,
}

/// What follows a failed attempt.
pub(super) enum AfterFailure {
    /// The request is sent again, with a permit of the retry budget if it needs one.
    Retry(Option<RetryPermit>),
    /// The request ends with this response.
    End(Response<AnswerBody>),
}

impl Serving {
    /// Records a failed attempt and decides whether the request is sent again.
    pub(super) async fn handle_failure(
        &mut self,
        attempted: Attempted,
        endpoint: &EndpointId,
        requirements: &mut Requirements,
    ) -> AfterFailure {
        match attempted {
            Attempted::Answered(_) => AfterFailure::Retry(None),
            Attempted::NotRun {
                reason,
                is_misdirected,
                has_arrived,
            } => {
                let refusal = AttemptRefusal {
                    reason,
                    is_misdirected,
                    has_arrived,
                };
                let after = self.handle_refusal(&refusal, endpoint, requirements);
                if is_misdirected && matches!(after, AfterFailure::Retry(_)) {
                    tokio::time::sleep(Duration::from_millis(MISDIRECTED_PAUSE_MS)).await;
                }
                after
            }
            Attempted::Lost(reason) => self.handle_loss(reason, endpoint, requirements),
        }
    }

    /// Records an attempt that did not run and decides whether the request is sent again.
    fn handle_refusal(
        &self,
        refusal: &AttemptRefusal,
        endpoint: &EndpointId,
        requirements: &mut Requirements,
    ) -> AfterFailure {
        let now_ms = self.gateway.now_ms();
        self.gateway.metrics.count_attempt("not_run");
        if refusal.is_misdirected && requirements.model.is_some() {
            self.record_missing_model(endpoint, requirements, now_ms);
        } else {
            self.record_refusal(endpoint, now_ms, refusal.is_misdirected);
            requirements.avoid.push(endpoint.clone());
        }
        let is_late_in_stop = self.gateway.may_stop_before(self.work.ends_ms);
        let has_attempts_left = self.attempts < ATTEMPTS_MAX && !is_late_in_stop;
        let needs_budget = has_attempts_left && refusal.has_arrived;
        let service = &requirements.service;
        let (fields, permit) = self.gateway.take_retry(needs_budget, now_ms, service);
        let may_retry = has_attempts_left && (!refusal.has_arrived || permit.is_some());
        log::info!(
            event = "attempt_refused", request = self.work.head.attempt_id.as_str(),
            reason = refusal.reason, endpoint = endpoint.as_str(), is_late_in_stop,
            service = service.as_str(), attempts = self.attempts, repeated = may_retry,
            budget = fields.outcome, retries = fields.usage.retries,
            retry_limit = fields.usage.limit, first_attempts = fields.usage.first_attempts,
            gateways = fields.gateways,
            in_flight = fields.usage.in_flight, in_flight_limit = fields.usage.in_flight_limit;
            "endpoint did not run the request"
        );
        if may_retry {
            return AfterFailure::Retry(permit);
        }
        AfterFailure::End(self.final_refusal(requirements, &Choice::Full))
    }

    /// Records an attempt whose answer is lost and decides whether the request is sent again.
    fn handle_loss(
        &mut self,
        reason: LossReason,
        endpoint: &EndpointId,
        requirements: &mut Requirements,
    ) -> AfterFailure {
        let now_ms = self.gateway.now_ms();
        self.runs += 1;
        if reason.may_be_crash() {
            let service = &requirements.service;
            self.check_for_crash(endpoint, service, reason.answer_progress());
        }
        self.gateway.metrics.count_attempt("lost");
        requirements.avoid.push(endpoint.clone());
        // A request that tests a quarantine crashes one endpoint at most.
        let may_run_again = self.work.route.kind.is_repeatable()
            && !self.work.is_trial.get()
            && self.runs < self.work.route.endpoints_per_attempt_max
            && self.work.left_ms(now_ms) > 0
            && !*self.gateway.aborting.borrow();
        let service = &requirements.service;
        let (fields, permit) = self.gateway.take_retry(may_run_again, now_ms, service);
        log::warn!(
            event = "attempt_lost", request = self.work.head.attempt_id.as_str(),
            reason:%, endpoint = endpoint.as_str(), service = service.as_str(),
            repeated = permit.is_some(), runs = self.runs, budget = fields.outcome,
            retries = fields.usage.retries, retry_limit = fields.usage.limit,
            first_attempts = fields.usage.first_attempts, gateways = fields.gateways,
            in_flight = fields.usage.in_flight, in_flight_limit = fields.usage.in_flight_limit;
            "the answer of an endpoint is lost; the request may have run"
        );
        if permit.is_some() {
            return AfterFailure::Retry(permit);
        }
        AfterFailure::End(self.lost_response(now_ms))
    }

    /// Checks in the background whether an endpoint crashed during the last attempt.
    pub(super) fn check_for_crash(
        &self,
        endpoint: &EndpointId,
        service: &ServiceName,
        progress: AnswerProgress,
    ) {
        let Some(address) = self.gateway.address_of(endpoint) else {
            return;
        };
        let attempt = BrokenAttempt::ending_now(&self.gateway, &self.work, service, progress);
        crash_checks::check(&self.gateway, endpoint.clone(), address, attempt);
    }

    /// Returns the final error of a request that may have run and has no good answer.
    ///
    /// An endpoint's own server error reaches the caller as it is.
    pub(super) fn lost_response(&self, now_ms: u64) -> Response<AnswerBody> {
        if let Some(failed) = self.failed.take() {
            return self.record_answer(failed.response, failed.framing, &failed.endpoint);
        }
        let route = &self.work.route.name;
        if self.work.left_ms(now_ms) == 0 {
            self.gateway
                .metrics
                .count_request(route, RequestOutcome::TimedOut);
            return text_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time");
        }
        self.gateway
            .metrics
            .count_request(route, RequestOutcome::Lost);
        text_response(StatusCode::BAD_GATEWAY, "answer lost")
    }

    /// Returns the final error where no endpoint can be reserved or no attempt is left.
    ///
    /// A request that never ran is refused with a `Retry-After` derived from `missing`; one that
    /// may have run gets the error of a lost answer.
    pub(super) fn final_refusal(
        &self,
        requirements: &Requirements,
        missing: &Choice,
    ) -> Response<AnswerBody> {
        let now_ms = self.gateway.now_ms();
        if self.runs > 0 {
            return self.lost_response(now_ms);
        }
        let left_ms = self.work.head.deadline_ms.map_or(0, |deadline_ms| {
            (self.work.arrived_ms + deadline_ms).saturating_sub(now_ms)
        });
        let ready_in_ms = self.gateway.ready_in_ms(requirements, missing);
        let retry_after_ms = retry_delay_ms(ready_in_ms.unwrap_or(RETRY_AFTER_DEFAULT_MS), left_ms);
        self.gateway
            .metrics
            .count_request(&self.work.route.name, RequestOutcome::Refused);
        log::info!(
            event = "request_refused", request = self.work.head.attempt_id.as_str(),
            route = self.work.route.name.as_ref(), lacking:? = missing,
            model = self.work.head.model.as_ref().map_or("", |model| model.as_str()),
            adapter = self.work.head.adapter.as_ref().map_or("", |adapter| adapter.as_str()),
            attempts = self.attempts, waited_ms = now_ms - self.work.arrived_ms,
            back_ms = retry_after_ms;
            "request refused"
        );
        refusal("no endpoint has room", retry_after_ms)
    }

    /// Records that an endpoint is missing the model or adapter it was listed with.
    fn record_missing_model(
        &self,
        endpoint: &EndpointId,
        requirements: &Requirements,
        now_ms: u64,
    ) {
        let Some(model) = requirements.model.clone() else {
            return;
        };
        self.gateway.with_endpoint(endpoint, |endpoint| {
            endpoint.missing_reported(now_ms, model, requirements.adapter.clone());
        });
        self.gateway.demand_changed.notify_one();
    }

    /// Records that an endpoint refused the request or accepted no connection.
    ///
    /// `is_misdirected` is whether another endpoint answered at its address.
    fn record_refusal(&self, endpoint: &EndpointId, now_ms: u64, is_misdirected: bool) {
        self.gateway.with_endpoint(endpoint, |endpoint| {
            if is_misdirected {
                endpoint.identity_refused(now_ms);
            } else {
                endpoint.refused(now_ms);
            }
        });
    }
}
