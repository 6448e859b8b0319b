use std::sync::Arc;

use chicorystage_api::inventory::Class;
use chicorystage_api::name::{CallerName, RequestId};
use chicorystage_api::peer::{RequestTrace, TraceEnd, TraceEvent, TraceStep};
use chicorystage_api::refusal::Refusal;
use chicorystage_api::work::EndSummary;

use crate::metrics::RequestMetrics;
use crate::router::event::RouterEvent;
use crate::router::serving::Dispatcher;
use crate::router::serving::event::ServingEvent;
use crate::timer::unix_ms;

/// Maximum number of steps in the trace of one request; later steps are dropped.
const STEPS_MAX: usize = 32;

/// Trace and metrics of one request.
///
/// The trace is sent to the main loop when the answer begins and when the
/// record is dropped. A request without an end by then counts as cancelled.
#[derive(Debug)]
pub(crate) struct RequestRecord {
    dispatcher: Dispatcher,
    received_ms: u64,
    metrics: Option<RequestMetrics>,
    dispatched_ms: u64,
    token_ms: Option<u64>,
    trace: RequestTrace,
}

impl RequestRecord {
    pub(crate) fn new(
        dispatcher: Dispatcher,
        received_ms: u64,
        request_id: RequestId,
        target: Arc<str>,
    ) -> Self {
        let trace = RequestTrace {
            request_id,
            received_unix_ms: unix_ms(),
            caller: None,
            class: None,
            target,
            timeout_ms: None,
            steps: Vec::new(),
            end: TraceEnd::InProgress,
        };
        Self {
            dispatcher,
            received_ms,
            metrics: None,
            dispatched_ms: received_ms,
            token_ms: None,
            trace,
        }
    }

    /// Records caller, class and timeout of the admitted request and counts it.
    pub(crate) fn admitted(&mut self, caller: &CallerName, class: Class, timeout_ms: u64) {
        self.trace.caller = Some(caller.clone());
        self.trace.class = Some(class);
        self.trace.timeout_ms = Some(timeout_ms);
        let metrics = self.dispatcher.metrics.requests(class, caller);
        metrics.count_request();
        self.metrics = Some(metrics);
    }

    /// Adds a step to the trace and counts attempts and retries.
    pub(crate) fn step(&mut self, event: TraceEvent) {
        match event {
            TraceEvent::Chosen { attempt, .. } => {
                self.dispatcher.metrics.count_attempt();
                if attempt > 1 {
                    self.dispatcher.metrics.count_retry();
                }
                self.dispatched_ms = self.dispatcher.clock.now_ms();
            }
            TraceEvent::Begun { .. } => self.send_trace(),
            _ => {}
        }
        if self.trace.steps.len() < STEPS_MAX {
            let at_ms = self.elapsed_ms();
            self.trace.steps.push(TraceStep { at_ms, event });
        }
    }

    /// Records a token that is about to be delivered.
    pub(crate) fn token(&mut self) {
        let now_ms = self.dispatcher.clock.now_ms();
        let Some(metrics) = &self.metrics else { return };
        match self.token_ms.replace(now_ms) {
            Some(last_ms) => metrics.between_tokens_ms(now_ms - last_ms),
            None => metrics.first_token_ms(now_ms - self.received_ms),
        }
    }

    /// Records a complete answer.
    pub(crate) fn answered(&mut self, summary: EndSummary) {
        self.trace.end = TraceEnd::Answered { summary };
        let elapsed_ms = self.elapsed_ms();
        let Some(metrics) = &self.metrics else { return };
        metrics.wait_ms(self.dispatched_ms - self.received_ms + summary.queued_ms);
        if summary.cold_start_ms > 0 {
            metrics.cold_start_ms(summary.cold_start_ms);
        }
        metrics.answer_ms(elapsed_ms);
    }

    /// Records the final refusal.
    pub(crate) fn refused(&mut self, refusal: &Refusal) {
        let refusal = refusal.clone();
        self.trace.end = TraceEnd::Refused { refusal };
    }

    fn elapsed_ms(&self) -> u64 {
        self.dispatcher
            .clock
            .now_ms()
            .saturating_sub(self.received_ms)
    }

    fn send_trace(&self) {
        let traced = ServingEvent::Traced(Box::new(self.trace.clone()));
        self.dispatcher
            .handle
            .send_detached(RouterEvent::Serving(traced));
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        if self.trace.end == TraceEnd::InProgress {
            self.trace.end = TraceEnd::Cancelled;
        }
        self.send_trace();
    }
}
