//! Resumes a broken event stream at another endpoint.

use std::time::Duration;

use chicorystage_borders::http::BodyFraming;
use http::StatusCode;

use crate::gateway::attempt::{self, Attempted};
use crate::gateway::event_stream::is_event_stream;
use crate::gateway::poison;
use crate::gateway::relay::StreamRelay;
use crate::gateway::relay::relay_end::RelayEnd;
use crate::gateway::relay::resume_failure::ResumeFailure;
use crate::gateway::relay::stream_origin::StreamOrigin;
use crate::gateway::reservation::Reservation;

/// Longest wait for another endpoint to resume a stream, in milliseconds.
const RESUME_WAIT_MS: u64 = 1_500;

impl StreamRelay {
    /// Returns whether the answer may be resumed once more: the route allows it, and the software
    /// version that began it is known.
    pub(super) fn may_resume(&self) -> bool {
        let is_version_known = self.origin != StreamOrigin::Unknown;
        self.events.is_some()
            && self.work.route.kind.is_resumable()
            && !self.work.is_trial.get()
            && is_version_known
            && self.runs < self.work.route.endpoints_per_attempt_max
    }

    /// Returns whether an endpoint runs the software version that began the answer.
    fn has_endpoint_to_resume(&self) -> bool {
        let Some(software) = &self.requirements.software else {
            return true;
        };
        let service = &self.requirements.service;
        self.gateway
            .with(|view| view.fleet.has_software(service, software))
    }

    /// Resumes the answer at another endpoint; returns whether that succeeded.
    pub(super) async fn resume(&mut self, reason: RelayEnd) -> bool {
        let now_ms = self.gateway.now_ms();
        let Some(broken) = self.answered.take() else {
            return false;
        };
        broken.reservation.outcome(false);
        let endpoint = broken.reservation.endpoint.clone();
        // Closing the connection cancels the request at an endpoint that still runs it.
        drop(broken);
        self.requirements.software = self.origin.software().cloned();
        self.requirements.is_most_urgent = true;
        let may_resume =
            self.may_resume() && self.work.left_ms(now_ms) > 0 && self.has_endpoint_to_resume();
        let service = &self.requirements.service;
        // The permit counts the resumed request as in flight until its answer begins or it fails.
        let (fields, permit, reservation) = if let Some(takeover) = self.takeover.take() {
            let (permit, reservation) = (takeover.permit, takeover.reservation);
            (takeover.fields, Some(permit), reservation)
        } else {
            let (fields, permit) = self.gateway.take_retry(may_resume, now_ms, service);
            (fields, permit, None)
        };
        let has_budget = permit.is_some();
        log::warn!(
            event = "answer_broken", request = self.work.head.attempt_id.as_str(), reason:%,
            endpoint = endpoint.as_str(), service = service.as_str(), resumed = has_budget,
            begun_by:? = self.origin,
            runs = self.runs, budget = fields.outcome, retries = fields.usage.retries,
            retry_limit = fields.usage.limit, first_attempts = fields.usage.first_attempts,
            gateways = fields.gateways,
            in_flight = fields.usage.in_flight, in_flight_limit = fields.usage.in_flight_limit;
            "answer broke off"
        );
        if !has_budget {
            return false;
        }
        self.requirements.avoid.push(endpoint);
        if let Err(failure) = self.send_rest(reservation).await {
            log::warn!(
                event = "resume_failed", request = self.work.head.attempt_id.as_str(),
                reason:% = failure, service = self.requirements.service.as_str();
                "stream could not be resumed"
            );
            return false;
        }
        true
    }

    /// Sends the request for the events after the last complete one and takes over its answer.
    ///
    /// Waits for an endpoint where none is reserved.
    async fn send_rest(&mut self, reserved: Option<Reservation>) -> Result<(), ResumeFailure> {
        let Some(events) = &mut self.events else {
            return Err(ResumeFailure::NoStream);
        };
        events.restart();
        let last_id = events
            .last_id()
            .map(str::to_owned)
            .or_else(|| self.work.head.last_event_id.clone());
        let rank = self.work.rank;
        let now_ms = self.gateway.now_ms();
        let until_ms = now_ms + RESUME_WAIT_MS.min(self.work.left_ms(now_ms));
        let granted = async {
            if reserved.is_some() {
                return reserved;
            }
            let requirements = &self.requirements;
            self.gateway
                .reserve_or_wait(requirements, rank, until_ms)
                .await
        };
        let service = &self.requirements.service;
        let reservation = tokio::select! {
            biased;
            () = poison::quarantined(&self.gateway, &self.work, service) => {
                return Err(ResumeFailure::Quarantined);
            }
            granted = granted => granted.ok_or(ResumeFailure::NoEndpoint)?,
        };
        let sent = attempt::send(&self.gateway, reservation, &self.work, last_id.as_deref());
        let limit = Duration::from_millis(self.work.left_ms(self.gateway.now_ms()));
        let sent = tokio::time::timeout(limit, sent).await.ok();
        if sent.as_ref().is_none_or(Attempted::was_sent) {
            self.gateway.metrics.count_sent(&self.requirements.service);
        }
        let answered = match sent {
            Some(Attempted::Answered(answered)) => answered,
            Some(Attempted::NotRun { reason, .. }) => return Err(ResumeFailure::NotRun(reason)),
            Some(Attempted::Lost(reason)) => return Err(ResumeFailure::Lost(reason)),
            None => return Err(ResumeFailure::DeadlinePassed),
        };
        // Other successes carry no rest of a stream, whatever they consist of.
        let is_rest = answered.parts.status == StatusCode::OK
            && is_event_stream(&self.work.route, &answered.parts);
        if !is_rest {
            return Err(ResumeFailure::NoStream);
        }
        self.framing = BodyFraming::of(&answered.parts.headers);
        self.endpoint = answered.reservation.endpoint.clone();
        self.answered = Some(answered);
        self.events_relayed = 0;
        self.runs += 1;
        Ok(())
    }
}
