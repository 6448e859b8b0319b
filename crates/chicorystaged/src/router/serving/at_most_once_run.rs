//! Runs a call that is not idempotent at most once.
//!
//! The call is claimed in the table before it is dispatched. Once dispatched it
//! is followed to its end even if the caller disconnects, so that its outcome
//! is recorded for resends.

use std::sync::Mutex;

use chicorystage_api::name::VmId;
use chicorystage_api::peer::{AttemptRef, ClaimOutcome, TraceEvent};
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_api::work::{ClaimTicket, Payload};
use chicorystage_borders::BoxFuture;
use chicorystage_borders::vm_list::VmEntry;
use chicorystage_core::suspects::DigestStatus;

use crate::router::claims::{ClaimDispatch, ClaimFlow, ClaimedAnswer, ClaimedCall, StartFailure};
use crate::router::event::{Choice, RouterEvent};
use crate::router::serving::admitted_request::{AdmittedRequest, AttemptTerms, ended_connection};
use crate::router::serving::attempt_failure::AttemptFailure;
use crate::router::serving::attempt_stream::AttemptStream;
use crate::router::serving::event::ServingEvent;
use crate::router::serving::request_record::RequestRecord;
use crate::router::serving::send_failure::SendFailure;
use crate::router::serving::{EntryGuard, WaitGuard, WholeAnswer};

/// A call that is not idempotent, on its way from admission to its answer.
#[derive(Debug)]
pub(crate) struct AtMostOnceRun {
    request: AdmittedRequest,
    state: Mutex<RunState>,
    /// Keeps the request counted under its caller's limits.
    _entry: EntryGuard,
}

/// The part of a call's state that changes while it is claimed and dispatched.
#[derive(Debug)]
struct RunState {
    record: RequestRecord,
    waiting: Option<WaitGuard>,
    digest_status: DigestStatus,
    attempts: u32,
    chosen: Option<Choice>,
}

impl RunState {
    fn set_waiting(&mut self, waiting: WaitGuard) {
        self.digest_status = waiting.digest_status();
        self.waiting = Some(waiting);
    }
}

/// An attempt of a call whose first content was received.
#[derive(Debug)]
pub(crate) struct OpenedCall {
    stream: AttemptStream,
    first: Payload,
}

impl AtMostOnceRun {
    pub(crate) fn new(entry: EntryGuard, request: AdmittedRequest, record: RequestRecord) -> Self {
        let state = RunState {
            record,
            waiting: None,
            digest_status: DigestStatus::Clear,
            attempts: 0,
            chosen: None,
        };
        Self {
            request,
            state: Mutex::new(state),
            _entry: entry,
        }
    }

    /// Runs the call at most once and returns its complete answer.
    pub(crate) async fn run(self) -> Result<WholeAnswer, Refusal> {
        let end = self.claim_and_run().await;
        let record = &mut self.lock().record;
        match &end {
            Ok(answer) => record.answered(answer.summary),
            Err(refusal) => record.refused(refusal),
        }
        end
    }

    /// Claims and dispatches the call, or replays its recorded answer, and records the outcome.
    async fn claim_and_run(&self) -> Result<WholeAnswer, Refusal> {
        let dispatcher = &self.request.dispatcher;
        let Some(call) = self.claimed_call() else {
            let detail = "the call is not idempotent; allowed: Idempotency-Key: KEY";
            return Err(Refusal::not_run(RefusalCode::KeyRequired, detail));
        };
        let (table, agents) = (&*dispatcher.borders.table, &*dispatcher.borders.agents);
        let flow = ClaimFlow::new(table, agents, &dispatcher.claims, self, call);
        match self.request.wait().await {
            Ok(waiting) => self.lock().set_waiting(waiting),
            Err(refusal) => return Err(flow.correct_outcome(refusal).await),
        }
        match flow.run().await? {
            ClaimedAnswer::Recorded(outcome) => recorded(outcome),
            ClaimedAnswer::Opened { opened, recorder } => {
                self.lock().waiting = None;
                let mut stream = opened.stream;
                let answer = WholeAnswer::collect(&mut stream, Some(opened.first), |_| {}).await;
                // The claim stays open after a failure, since the agent still knows the outcome.
                let answer = answer.map_err(|failure| {
                    self.report_crash(&failure);
                    may_have_run(failure.refusal)
                })?;
                self.send_event(ServingEvent::Completed {
                    digest: self.request.terms.digest.clone(),
                    prefix_at: None,
                });
                recorder.record(answer.to_outcome()).await;
                Ok(answer)
            }
        }
    }

    /// Returns the call's identity for its claim; `None` without an idempotency key.
    fn claimed_call(&self) -> Option<ClaimedCall> {
        Some(ClaimedCall {
            caller: self.request.admission.caller.name.clone(),
            key: self.request.terms.key.clone()?,
            body_sha256: self.request.terms.digest.clone(),
            request_id: self.request.terms.request_id.clone(),
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, RunState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Counts and traces an attempt that is about to be sent.
    ///
    /// Returns its number, whether it must run alone, and the last choice if it
    /// was for this VM.
    fn begin_attempt(&self, vm: &VmEntry) -> (u32, bool, Option<Choice>) {
        let mut state = self.lock();
        state.attempts += 1;
        let chosen = state.chosen.take().filter(|choice| choice.vm.id == vm.id);
        let alone = state.digest_status == DigestStatus::Suspect;
        let attempt = state.attempts;
        state.record.step(TraceEvent::Chosen {
            attempt,
            vm: vm.id.clone(),
            estimated_wait_ms: chosen.as_ref().map_or(0, |choice| choice.estimated_wait_ms),
            suspect: alone,
        });
        (attempt, alone, chosen)
    }

    /// Reports to the main loop that the service crashed while it ran the call, if it did.
    fn report_crash(&self, failure: &AttemptFailure) {
        if !failure.crashed {
            return;
        }
        let alone = self.lock().digest_status == DigestStatus::Suspect;
        self.send_event(ServingEvent::Crashed {
            digest: self.request.terms.digest.clone(),
            alone,
            group: self.request.admission.group.clone(),
        });
    }

    fn send_event(&self, event: ServingEvent) {
        let handle = &self.request.dispatcher.handle;
        handle.send_detached(RouterEvent::Serving(event));
    }

    /// Waits for the first content of an attempt.
    async fn first_content(&self, mut stream: AttemptStream) -> Result<OpenedCall, StartFailure> {
        match stream.next().await {
            Ok(first) => Ok(OpenedCall { stream, first }),
            Err(failure) => {
                self.report_crash(&failure);
                let mut state = self.lock();
                let attempt = state.attempts;
                state.record.step(TraceEvent::Failed {
                    attempt,
                    refusal: failure.refusal.clone(),
                });
                drop(state);
                Err(start_failure(failure))
            }
        }
    }
}

impl ClaimDispatch for AtMostOnceRun {
    type Opened = OpenedCall;

    fn time_left_ms(&self) -> u64 {
        self.request.time_left_ms()
    }

    fn choose<'a>(&'a self, avoid: &'a [VmId]) -> BoxFuture<'a, Result<VmEntry, Refusal>> {
        Box::pin(async move {
            let choice = self.request.choose(avoid, false).await?;
            let vm = choice.vm.clone();
            self.lock().chosen = Some(choice);
            Ok(vm)
        })
    }

    fn find<'a>(&'a self, vm: &'a VmId) -> BoxFuture<'a, Result<Option<VmEntry>, Refusal>> {
        Box::pin(async move { self.request.dispatcher.handle.find_vm(vm.clone()).await })
    }

    fn start<'a>(
        &'a self,
        vm: &'a VmEntry,
        ticket: ClaimTicket,
    ) -> BoxFuture<'a, Result<OpenedCall, StartFailure>> {
        Box::pin(async move {
            let (attempt, alone, chosen) = self.begin_attempt(vm);
            let terms = AttemptTerms {
                attempt,
                grant: None,
                claim: Some(ticket),
                alone,
            };
            let frames = self.request.send(vm.address, terms).await;
            if frames.is_err() {
                self.send_event(ServingEvent::Unanswered(vm.id.clone()));
            }
            let frames = frames.map_err(|failure| match failure {
                SendFailure::NotDelivered(_) => StartFailure::NotDelivered,
                SendFailure::Unknown | SendFailure::TooLate => StartFailure::Unknown,
            })?;
            let attempt = self.request.attempt_ref(attempt);
            let mut stream = self.request.stream(vm.address, attempt, frames);
            if let Some(choice) = chosen {
                stream = stream.counted_in_flight(choice.flight);
            }
            self.first_content(stream).await
        })
    }

    fn attach<'a>(
        &'a self,
        vm: &'a VmEntry,
        attempt: AttemptRef,
    ) -> BoxFuture<'a, Result<OpenedCall, StartFailure>> {
        Box::pin(async move {
            let stream = self.request.stream(vm.address, attempt, ended_connection());
            self.first_content(stream).await
        })
    }
}

/// Returns the failure of a dispatch whose attempt gave no content.
///
/// A passed deadline counts as a refusal, so that the agent is not queried again.
fn start_failure(failure: AttemptFailure) -> StartFailure {
    if failure.by_agent || failure.refusal.code == RefusalCode::DeadlineExceeded {
        return StartFailure::Refused(failure.refusal);
    }
    StartFailure::Unknown
}

/// Decodes the recorded answer of an earlier call with the same key.
fn recorded(outcome: ClaimOutcome) -> Result<WholeAnswer, Refusal> {
    WholeAnswer::from_outcome(outcome).ok_or_else(|| {
        let detail = "the recorded answer of an earlier call with this key cannot be read";
        Refusal::may_have_run(RefusalCode::ResultUnknown, detail)
    })
}

/// Marks a failure as one that may have run, since the call had begun to answer.
///
/// This overrides the outcome that the agent reports.
fn may_have_run(refusal: Refusal) -> Refusal {
    Refusal::may_have_run(refusal.code, refusal.detail)
}
