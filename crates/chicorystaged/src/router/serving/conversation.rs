use std::time::Duration;

use chicorystage_api::name::{RequestId, VmId};
use chicorystage_api::peer::TraceEvent;
use chicorystage_api::refusal::{Outcome, Refusal, RefusalCode};
use chicorystage_api::work::{Payload, SlotGrant};
use chicorystage_core::retry::backoff_ms;
use chicorystage_core::suspects::Standing;
use tokio::time::{Instant, sleep, timeout_at};

use crate::router::event::{Resolved, RouterEvent};
use crate::router::serving::attempt_failure::AttemptFailure;
use crate::router::serving::attempt_stream::AttemptStream;
use crate::router::serving::event::ServingEvent;
use crate::router::serving::job::{Job, deadline_passed};
use crate::router::serving::refusals::quarantined;
use crate::router::serving::request_record::RequestRecord;
use crate::router::serving::{Entry, OpenedAnswer, WaitGuard};

/// Attempts of one request.
const ATTEMPTS_MAX: u32 = 4;
/// Delay after which coming back may find an endpoint, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// An attempt that has begun to answer.
pub(super) type Begun = (AttemptStream, Payload);

/// One request of idempotent work on its way to a whole answer.
#[derive(Debug)]
pub(crate) struct Conversation {
    pub(super) job: Job,
    pub(super) record: RequestRecord,
    pub(super) standing: Standing,
    pub(super) attempts: u32,
    pub(super) avoid: Vec<VmId>,
    pub(super) current: Option<CurrentAttempt>,
    may_have_run: bool,
    waiting: Option<WaitGuard>,
    _entry: Entry,
}

/// Where the last attempt was sent.
#[derive(Clone, Debug)]
pub(super) struct CurrentAttempt {
    pub(super) vm: VmId,
    pub(super) grant: Option<SlotGrant>,
    pub(super) alone: bool,
}

impl Conversation {
    /// Takes a place among the requests that wait.
    pub(crate) async fn begin(
        entry: Entry,
        job: Job,
        mut record: RequestRecord,
    ) -> Result<Self, Refusal> {
        let waiting = match job.wait().await {
            Ok(waiting) => waiting,
            Err(refusal) => {
                record.refused(&refusal);
                return Err(refusal);
            }
        };
        Ok(Self {
            job,
            record,
            standing: waiting.standing(),
            attempts: 0,
            avoid: Vec::new(),
            current: None,
            may_have_run: false,
            waiting: Some(waiting),
            _entry: entry,
        })
    }

    pub(crate) fn request_id(&self) -> &RequestId {
        &self.job.terms.request_id
    }

    pub(crate) fn deadline(&self) -> Instant {
        self.job.terms.deadline
    }

    pub(crate) fn model_name(&self) -> String {
        match &self.job.admission.resolved {
            Resolved::Model { model, .. } => model.to_string(),
            Resolved::Application { .. } => String::new(),
        }
    }

    /// Tries endpoints until one begins to answer.
    pub(crate) async fn open(mut self) -> Result<OpenedAnswer, Refusal> {
        let (stream, first) = self.try_endpoints().await?;
        Ok(OpenedAnswer::new(self, stream, first))
    }

    /// Replaces an attempt that was lost before anything was delivered.
    pub(crate) async fn reopen(&mut self, failure: AttemptFailure) -> Result<Begun, Refusal> {
        self.retry_after(failure).await?;
        self.try_endpoints().await
    }

    /// Notes content that is delivered or collected.
    pub(crate) fn delivered(&mut self, payload: &Payload) {
        match payload {
            Payload::Token(_) => self.record.token(),
            Payload::End(summary) => {
                self.record.answered(*summary);
                let vm = self.current.as_ref().map(|current| current.vm.clone());
                self.tell(ServingEvent::Completed {
                    digest: self.job.terms.digest.clone(),
                    prefix_at: self.job.terms.prefix_key.zip(vm),
                });
            }
            _ => {}
        }
    }

    /// Ends the request with a failed attempt and returns what the caller is told.
    pub(crate) fn end(&mut self, failure: &AttemptFailure) -> Refusal {
        self.note_failure(failure);
        self.refuse(failure.refusal.clone())
    }

    async fn try_endpoints(&mut self) -> Result<Begun, Refusal> {
        loop {
            let choice = match self.job.choose(&self.avoid, true).await {
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

    /// Returns once another attempt is due, else refuses for good.
    async fn retry_after(&mut self, failure: AttemptFailure) -> Result<(), Refusal> {
        self.note_failure(&failure);
        if !failure.is_transient() {
            return Err(self.refuse(failure.refusal));
        }
        if self.attempts >= ATTEMPTS_MAX {
            self.record.step(TraceEvent::NotRetried {
                budget_spent: false,
            });
            return Err(self.refuse(failure.refusal));
        }
        let Some(standing) = self.take_retry(&failure).await else {
            self.record
                .step(TraceEvent::NotRetried { budget_spent: true });
            return Err(self.refuse(failure.refusal));
        };
        if standing == Standing::Quarantined {
            return Err(self.refuse(quarantined()));
        }
        self.standing = standing;
        self.pause(&failure).await
    }

    async fn take_retry(&self, failure: &AttemptFailure) -> Option<Standing> {
        let digest = self.job.terms.digest.clone();
        let paid = !failure.is_detour();
        let taken = self
            .job
            .dispatcher
            .handle
            .ask_serving(|reply| ServingEvent::TakeRetry {
                digest,
                paid,
                reply,
            });
        taken.await.flatten()
    }

    /// Waits a random while, so that requests which failed together spread out.
    async fn pause(&mut self, failure: &AttemptFailure) -> Result<(), Refusal> {
        let first_detour = failure.is_detour() && self.attempts == 1;
        let pause_ms = if first_detour {
            0
        } else {
            backoff_ms(self.attempts, rand::random())
        };
        self.record.step(TraceEvent::Retried { pause_ms });
        let pause = sleep(Duration::from_millis(pause_ms));
        match timeout_at(self.job.terms.deadline, pause).await {
            Ok(()) => Ok(()),
            Err(_elapsed) => Err(self.refuse(deadline_passed())),
        }
    }

    /// Tells the loop what a failed attempt means.
    fn note_failure(&mut self, failure: &AttemptFailure) {
        self.may_have_run |= !failure.not_run();
        self.record.step(TraceEvent::Failed {
            attempt: self.attempts,
            refusal: failure.refusal.clone(),
        });
        let Some(current) = self.current.take() else {
            return;
        };
        if failure.crashed {
            self.tell(ServingEvent::Crashed {
                digest: self.job.terms.digest.clone(),
                alone: current.alone,
                group: self.job.admission.group.clone(),
            });
        }
        if failure.is_unanswered() {
            self.tell(ServingEvent::Unanswered(current.vm.clone()));
        }
        match (failure.refusal.code, current.grant) {
            (RefusalCode::Leaving, _) => self.tell(ServingEvent::VmLeaving(current.vm)),
            (RefusalCode::NotPlaced, Some(grant)) => self.tell(ServingEvent::NotPlaced {
                model: grant.model,
                row_version: grant.row_version,
            }),
            _ => {}
        }
    }

    /// Returns the final refusal, whose outcome counts every attempt of the request.
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

    fn tell(&self, event: ServingEvent) {
        self.job
            .dispatcher
            .handle
            .tell_later(RouterEvent::Serving(event));
    }
}
