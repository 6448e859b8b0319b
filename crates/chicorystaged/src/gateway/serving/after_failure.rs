//! What follows an attempt that failed: another one, or the final answer.

use std::time::Duration;

use chicorystage_api::name::EndpointId;
use chicorystage_core::admission::come_back_ms;
use chicorystage_core::fleet::{Choice, Want};
use http::{Response, StatusCode};

use crate::gateway::answer_body::AnswerBody;
use crate::gateway::attempt::{self, Attempted};
use crate::gateway::own_answers::{COME_BACK_MS, not_run, plain};
use crate::gateway::poison;
use crate::gateway::serving::Serving;
use crate::metrics::RequestOutcome;

/// Attempts at endpoints that one request makes at most, refused ones included.
const ATTEMPTS_MAX: u32 = 4;
/// Pause before an endpoint is asked again that lacked an adapter, in milliseconds.
const ADAPTER_PAUSE_MS: u64 = 10;

impl Serving {
    /// Decides what follows a failed attempt; none to try again.
    pub(super) async fn after_failure(
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
                let may_retry = self.attempts < ATTEMPTS_MAX && self.gateway.take_retry(now_ms);
                if !may_retry {
                    return Some(self.give_up(want, &Choice::Full));
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
                    && self.gateway.take_retry(now_ms);
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
    pub(super) fn give_up(&self, want: &Want, lacking: &Choice) -> Response<AnswerBody> {
        let now_ms = self.gateway.now_ms();
        if self.runs > 0 {
            return self.lost(now_ms);
        }
        let left_ms = self.work.head.deadline_ms.map_or(0, |deadline_ms| {
            (self.work.arrived_ms + deadline_ms).saturating_sub(now_ms)
        });
        let ready_in_ms = self.gateway.ready_in_ms(want, lacking);
        let back_ms = come_back_ms(ready_in_ms.unwrap_or(COME_BACK_MS), left_ms);
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
        self.gateway.with_endpoint(endpoint, |endpoint| {
            endpoint.denied(now_ms, model, want.adapter.clone());
        });
        self.gateway.want_changed.notify_one();
    }

    fn refused(&self, endpoint: &EndpointId, now_ms: u64) {
        self.gateway.with_endpoint(endpoint, |endpoint| {
            endpoint.refused(now_ms);
        });
    }
}
