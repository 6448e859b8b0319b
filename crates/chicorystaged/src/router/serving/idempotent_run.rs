use std::time::Duration;

use chicorystage_api::name::{RequestId, VmId};
use chicorystage_api::peer::TraceEvent;
use chicorystage_api::refusal::{Outcome, Refusal, RefusalCode};
use chicorystage_api::work::{Payload, SlotGrant};
use chicorystage_core::retry::backoff_ms;
use chicorystage_core::suspects::DigestStatus;
use tokio::time::{Instant, sleep, timeout_at};

use crate::router::event::{Resolved, RouterEvent};
use crate::router::serving::admitted_request::{AdmittedRequest, deadline_passed};
use crate::router::serving::attempt_failure::AttemptFailure;
use crate::router::serving::attempt_stream::AttemptStream;
use crate::router::serving::event::ServingEvent;
use crate::router::serving::refusals::quarantined;
use crate::router::serving::request_record::RequestRecord;
use crate::router::serving::{EntryGuard, OpenedAnswer, WaitGuard};

/// Maximum number of attempts of one request.
const ATTEMPTS_MAX: u32 = 4;
/// Delay after which the caller should retry if no endpoint was available, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// An attempt that has begun to answer, with its first content.
pub(super) type BegunAttempt = (AttemptStream, Payload);

/// A request of idempotent work, which is retried on other VMs until one answers.
#[derive(Debug)]
pub(crate) struct IdempotentRun {
    pub(super) request: AdmittedRequest,
    pub(super) record: RequestRecord,
    pub(super) digest_status: DigestStatus,
    pub(super) attempts: u32,
    /// VMs that attempts were sent to.
    pub(super) avoid: Vec<VmId>,
    pub(super) current: Option<CurrentAttempt>,
    /// Whether a failed attempt may have run.
    may_have_run: bool,
    /// Place in the wait queue; `None` once an answer has begun.
    waiting: Option<WaitGuard>,
    /// Keeps the request counted under its caller's limits.
    _entry: EntryGuard,
}

/// Where the last attempt was sent.
#[derive(Clone, Debug)]
pub(super) struct CurrentAttempt {
    pub(super) vm: VmId,
    pub(super) grant: Option<SlotGrant>,
    pub(super) alone: bool,
}

impl IdempotentRun {
    /// Enters a request into the wait queue and returns its run.
    ///
    /// # Errors
    ///
    /// Fails if the queue sheds the request or its work is quarantined.
    pub(crate) async fn begin(
        entry: EntryGuard,
        request: AdmittedRequest,
        mut record: RequestRecord,
    ) -> Result<Self, Refusal> {
        let waiting = match request.wait().await {
            Ok(waiting) => waiting,
            Err(refusal) => {
                record.refused(&refusal);
                return Err(refusal);
            }
        };
        Ok(Self {
            request,
            record,
            digest_status: waiting.digest_status(),
            attempts: 0,
            avoid: Vec::new(),
            current: None,
            may_have_run: false,
            waiting: Some(waiting),
            _entry: entry,
        })
    }

    pub(crate) fn request_id(&self) -> &RequestId {
        &self.request.terms.request_id
    }

    pub(crate) fn deadline(&self) -> Instant {
        self.request.terms.deadline
    }

    /// Returns the resolved model's name; empty for a service.
    pub(crate) fn model_name(&self) -> String {
        match &self.request.admission.resolved {
            Resolved::Model { model, .. } => model.to_string(),
            Resolved::Application { .. } => String::new(),
        }
    }

    /// Tries VMs until one begins to answer.
    pub(crate) async fn open(mut self) -> Result<OpenedAnswer, Refusal> {
        let (stream, first) = self.try_endpoints().await?;
        Ok(OpenedAnswer::new(self, stream, first))
    }

    /// Replaces an attempt that failed before any content reached the caller.
    pub(crate) async fn reopen(
        &mut self,
        failure: AttemptFailure,
    ) -> Result<BegunAttempt, Refusal> {
        self.retry_after(failure).await?;
        self.try_endpoints().await
    }

    /// Records content that was passed to the caller or collected.
    pub(crate) fn delivered(&mut self, payload: &Payload) {
        match payload {
            Payload::Token(_) => self.record.token(),
            Payload::End(summary) => {
                self.record.answered(*summary);
                let vm = self.current.as_ref().map(|current| current.vm.clone());
                self.send_event(ServingEvent::Completed {
                    digest: self.request.terms.digest.clone(),
                    prefix_at: self.request.terms.prefix_key.zip(vm),
                });
            }
            _ => {}
        }
    }

    /// Ends the request after a failed attempt and returns the refusal for the caller.
    pub(crate) fn end(&mut self, failure: &AttemptFailure) -> Refusal {
        self.record_failure(failure);
        self.refuse(failure.refusal.clone())
    }

    async fn try_endpoints(&mut self) -> Result<BegunAttempt, Refusal> {
        loop {
            let choice = match self.request.choose(&self.avoid, true).await {
                Ok(choice) => choice,
                Err(refusal) => return Err(self.refuse(refusal)),
            };
            match self.attempt(choice).await {
                Ok(begun) => {
                    self.waiting = None;
                    let attempt = self.attempts;
                    self.record.step(TraceEvent::Begun { attempt });
                    return Ok(begun);
                }
                Err(failure) => self.retry_after(failure).await?,
            }
        }
    }

    /// Waits until another attempt may be made.
    ///
    /// # Errors
    ///
    /// Returns the final refusal if the failure is permanent, the attempts or
    /// the retry budget are used up, the work was quarantined, or the deadline
    /// passes.
    async fn retry_after(&mut self, failure: AttemptFailure) -> Result<(), Refusal> {
        self.record_failure(&failure);
        if !failure.is_transient() {
            return Err(self.refuse(failure.refusal));
        }
        if self.attempts >= ATTEMPTS_MAX {
            self.record.step(TraceEvent::NotRetried {
                budget_spent: false,
            });
            return Err(self.refuse(failure.refusal));
        }
        let Some(digest_status) = self.take_retry(&failure).await else {
            self.record
                .step(TraceEvent::NotRetried { budget_spent: true });
            return Err(self.refuse(failure.refusal));
        };
        if digest_status == DigestStatus::Quarantined {
            return Err(self.refuse(quarantined()));
        }
        self.digest_status = digest_status;
        self.pause(&failure).await
    }

    /// Takes a retry from the budget and returns how suspect the work is by now.
    ///
    /// `None` if the budget is spent or the main loop has ended. An attempt that
    /// cost no work is not charged.
    async fn take_retry(&self, failure: &AttemptFailure) -> Option<DigestStatus> {
        let digest = self.request.terms.digest.clone();
        let charged = !failure.is_misrouted();
        let taken = self
            .request
            .dispatcher
            .handle
            .ask_serving(|reply| ServingEvent::TakeRetry {
                digest,
                charged,
                reply,
            });
        taken.await.flatten()
    }

    /// Waits for a jittered exponential backoff, so that requests which failed together spread out.
    ///
    /// The first attempt that was only sent to the wrong VM is repeated at once.
    async fn pause(&mut self, failure: &AttemptFailure) -> Result<(), Refusal> {
        let first_misrouted = failure.is_misrouted() && self.attempts == 1;
        let pause_ms = if first_misrouted {
            0
        } else {
            backoff_ms(self.attempts, rand::random())
        };
        self.record.step(TraceEvent::Retried { pause_ms });
        let pause = sleep(Duration::from_millis(pause_ms));
        match timeout_at(self.request.terms.deadline, pause).await {
            Ok(()) => Ok(()),
            Err(_elapsed) => Err(self.refuse(deadline_passed())),
        }
    }

    /// Records a failed attempt and reports to the main loop what it reveals about the VM.
    fn record_failure(&mut self, failure: &AttemptFailure) {
        self.may_have_run |= !failure.not_run();
        self.record.step(TraceEvent::Failed {
            attempt: self.attempts,
            refusal: failure.refusal.clone(),
        });
        let Some(current) = self.current.take() else {
            return;
        };
        if failure.crashed {
            self.send_event(ServingEvent::Crashed {
                digest: self.request.terms.digest.clone(),
                alone: current.alone,
                group: self.request.admission.group.clone(),
            });
        }
        if failure.is_unanswered() {
            self.send_event(ServingEvent::Unanswered(current.vm.clone()));
        }
        match (failure.refusal.code, current.grant) {
            (RefusalCode::Leaving, _) => self.send_event(ServingEvent::VmLeaving(current.vm)),
            (RefusalCode::NotPlaced, Some(grant)) => self.send_event(ServingEvent::NotPlaced {
                model: grant.model,
                row_version: grant.row_version,
            }),
            _ => {}
        }
    }

    /// Records and returns the final refusal.
    ///
    /// Its outcome is `may_have_run` if any attempt of the request may have run.
    /// A transient refusal that certainly did not run gets a retry delay.
    fn refuse(&mut self, mut refusal: Refusal) -> Refusal {
        if self.may_have_run {
            refusal.outcome = Outcome::MayHaveRun;
        }
        let transient = AttemptFailure::refused(refusal.clone()).is_transient();
        if transient && refusal.outcome == Outcome::NotRun && refusal.retry_after_ms.is_none() {
            refusal.retry_after_ms = Some(RETRY_AFTER_MS);
        }
        self.record.refused(&refusal);
        refusal
    }

    fn send_event(&self, event: ServingEvent) {
        self.request
            .dispatcher
            .handle
            .send_detached(RouterEvent::Serving(event));
    }
}
