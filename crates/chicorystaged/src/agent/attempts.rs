//! Attempts: starting, resuming, cancelling, recording and ending them.
//!
//! Every frame of an attempt is recorded, so a router that lost its connection
//! can resume the attempt from any offset. A duplicate start resumes the
//! recorded attempt instead of running it a second time.

use std::sync::Arc;

use chicorystage_api::peer::AttemptRef;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_api::work::{AttemptRequest, Frame, Payload, WorkSpec};
use chicorystage_core::queue::{Entry, PushOutcome};
use tokio::sync::mpsc;

use crate::agent::borders::Endpoint;
use crate::agent::main_loop::AgentLoop;
use crate::agent::queued_attempt::QueuedAttempt;
use crate::agent::running_attempt::RunningAttempt;
use crate::agent::target::Target;

/// Inverse of the newest service time's weight in the exponentially weighted average.
const SMOOTHING_DIVISOR: u64 = 8;
/// Memory that a queued attempt is counted for in addition to its text, in bytes.
const ATTEMPT_OVERHEAD_BYTES: u64 = 512;
/// Shortest and longest retry delay that a refusal for overload suggests, in milliseconds.
const RETRY_AFTER_MS: (u64, u64) = (100, 10_000);

impl AgentLoop {
    /// Starts an attempt: admits it, records its claim and queues it, or refuses it.
    pub(super) fn start(
        &mut self,
        request: AttemptRequest,
        listener: mpsc::UnboundedSender<Frame>,
    ) {
        let attempt = AttemptRef {
            request_id: request.request_id.clone(),
            attempt: request.attempt,
        };
        if !self.attempts.begin(&attempt) {
            // A duplicate of the start message: the attempt must run only once.
            self.resume(&attempt, 0, listener);
            return;
        }
        self.listeners.insert(attempt.clone(), vec![listener]);
        if let Err(refusal) = self.admit(&request) {
            return self.refuse(&attempt, refusal);
        }
        if let Err(refusal) = self.begin_claim(&attempt, &request) {
            return self.refuse(&attempt, refusal);
        }
        self.enqueue(attempt, request);
        self.dispatch_due = true;
    }

    /// Sends the recorded frames from `offset`, then new ones as they are recorded.
    ///
    /// Returns false if the attempt is unknown.
    pub(super) fn resume(
        &mut self,
        attempt: &AttemptRef,
        offset: u64,
        listener: mpsc::UnboundedSender<Frame>,
    ) -> bool {
        let Some(record) = self.attempts.get(attempt) else {
            return false;
        };
        for frame in record
            .frames()
            .iter()
            .filter(|frame| frame.offset >= offset)
        {
            // A disconnected listener is removed when the next frame is sent.
            let _sent = listener.send(frame.clone());
        }
        if !record.is_finished() {
            let listeners = self.listeners.entry(attempt.clone()).or_default();
            listeners.push(listener);
        }
        true
    }

    /// Cancels an attempt that is queued or that runs as a completion.
    pub(super) fn cancel(&mut self, attempt: &AttemptRef) {
        let removed = self
            .queue
            .remove_where(|entry| entry.item.attempt == *attempt);
        let detail = "the router gave the attempt up";
        if !removed.is_empty() {
            self.refuse(attempt, Refusal::not_run(RefusalCode::Cancelled, detail));
        } else if self.is_stream(attempt) {
            self.stop_stream(attempt);
            self.refuse(
                attempt,
                Refusal::may_have_run(RefusalCode::Cancelled, detail),
            );
        }
        // A running service call cannot be cancelled; it runs to its end.
        self.dispatch_due = true;
    }

    /// Cancels and refuses running completions whose deadline has passed.
    ///
    /// Service calls are exempt, since they cannot be cancelled.
    pub(super) fn expire_running(&mut self, now_ms: u64) {
        let expired = self
            .running
            .iter()
            .filter(|(_, running)| running.stream.is_some() && running.deadline_ms <= now_ms);
        let expired: Vec<AttemptRef> = expired.map(|(attempt, _)| attempt.clone()).collect();
        for attempt in expired {
            self.stop_stream(&attempt);
            let detail = "the deadline passed before the answer was complete";
            self.refuse(
                &attempt,
                Refusal::may_have_run(RefusalCode::DeadlineExceeded, detail),
            );
        }
    }

    pub(super) fn refuse(&mut self, attempt: &AttemptRef, refusal: Refusal) {
        self.output(attempt, Payload::Refused(refusal));
    }

    /// Records a frame and sends it to the listeners; a final frame ends the attempt.
    ///
    /// Output for an attempt that is unknown or has ended is dropped.
    pub(super) fn output(&mut self, attempt: &AttemptRef, payload: Payload) {
        let now_ms = self.clock.now_ms();
        let is_final = payload.is_final();
        if is_final {
            self.count_result(attempt, &payload);
            self.end_running(attempt, now_ms);
            self.end_claim(attempt, &payload);
        }
        let is_first = self
            .attempts
            .get(attempt)
            .is_some_and(|record| record.frames().is_empty());
        let load = (is_final || is_first).then(|| self.load());
        let Some(frame) = self.attempts.append(attempt, payload, load, now_ms) else {
            return;
        };
        if let Some(listeners) = self.listeners.get_mut(attempt) {
            listeners.retain(|listener| listener.send(frame.clone()).is_ok());
        }
        if is_final {
            self.listeners.remove(attempt);
            self.dispatch_due = true;
        }
    }

    fn count_result(&self, attempt: &AttemptRef, last: &Payload) {
        match (last, self.running.get(attempt)) {
            (Payload::End(summary), Some(running)) => {
                self.metrics.record_served(running.class, summary);
            }
            (Payload::Refused(refusal), _) => self.metrics.count_refusal(refusal),
            _ => {}
        }
    }

    /// Asks the engine, without waiting for its answer, to cancel the stream of an attempt.
    fn stop_stream(&mut self, attempt: &AttemptRef) {
        let Some(running) = self.running.get(attempt) else {
            return;
        };
        let (Some(stream), Endpoint::Engine(engine)) = (&running.stream, &self.borders.endpoint)
        else {
            return;
        };
        let (engine, stream_id) = (Arc::clone(engine), Arc::clone(&stream.stream_id));
        tokio::spawn(async move {
            // If the request is lost, the engine runs the stream to its end.
            let _cancelled = engine.cancel(&stream_id).await;
        });
    }

    fn is_stream(&self, attempt: &AttemptRef) -> bool {
        self.running
            .get(attempt)
            .is_some_and(|running| running.stream.is_some())
    }

    /// Releases the replica of an ended attempt and updates the average service time.
    fn end_running(&mut self, attempt: &AttemptRef, now_ms: u64) {
        let Some(RunningAttempt {
            started_ms, stream, ..
        }) = self.running.remove(attempt)
        else {
            return;
        };
        if let Some(stream) = stream {
            self.replicas.release(&stream.replica_use, now_ms);
        }
        let took_ms = now_ms.saturating_sub(started_ms);
        self.service_time_ms = match self.service_time_ms {
            0 => took_ms,
            smoothed => (smoothed * (SMOOTHING_DIVISOR - 1) + took_ms) / SMOOTHING_DIVISOR,
        };
    }

    /// Queues an accepted attempt and refuses those for which the queue has no room.
    fn enqueue(&mut self, attempt: AttemptRef, request: AttemptRequest) {
        let now_ms = self.clock.now_ms();
        let target = match &request.work {
            WorkSpec::Completion(completion) => {
                let granted = request.grant.as_ref().map_or(0, |grant| grant.row_version);
                Some(Target::new(completion, granted))
            }
            WorkSpec::Service(_) => None,
        };
        if let Some(target) = &target {
            self.record_arrival(target, now_ms);
        }
        let entry = Entry {
            class: request.class,
            caller: request.caller.clone(),
            weight: request.weight,
            deadline_ms: now_ms.saturating_add(request.time_left_ms),
            queued_ms: now_ms,
            bytes: ATTEMPT_OVERHEAD_BYTES + text_bytes(&request.work),
            suspect: request.suspect,
            item: QueuedAttempt {
                attempt,
                request,
                target,
            },
        };
        let refused = match self.queue.push(entry) {
            PushOutcome::Queued => Vec::new(),
            PushOutcome::Displaced(refused) => refused,
            PushOutcome::Full(entry) => vec![*entry],
        };
        for entry in refused {
            let detail = "the endpoint's queue is full";
            let refusal = Refusal::not_run(RefusalCode::Overloaded, detail)
                .retry_after_ms(self.retry_after_ms());
            self.refuse(&entry.item.attempt, refusal);
        }
    }

    /// Estimates when the current queue will have been served, as a retry delay in milliseconds.
    pub(super) fn retry_after_ms(&self) -> u64 {
        let queued = u64::try_from(self.queue.len()).unwrap_or(u64::MAX);
        let rounds = queued / u64::from(self.capacity().max(1)) + 1;
        let (shortest_ms, longest_ms) = RETRY_AFTER_MS;
        (rounds * self.service_time_ms).clamp(shortest_ms, longest_ms)
    }
}

fn text_bytes(work: &WorkSpec) -> u64 {
    let len = match work {
        WorkSpec::Completion(completion) => completion.prompt.len(),
        WorkSpec::Service(call) => call.body_base64.len() + call.path.len(),
    };
    len as u64
}
