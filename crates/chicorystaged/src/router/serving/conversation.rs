use std::time::Duration;

use chicorystage_api::inventory::Class;
use chicorystage_api::name::{Digest, IdempotencyKey, ModelName, RequestId, VmId};
use chicorystage_api::peer::AttemptRef;
use chicorystage_api::refusal::{Outcome, Refusal, RefusalCode};
use chicorystage_api::work::{AttemptRequest, ClaimTicket, Payload, WorkSpec};
use chicorystage_core::token;
use tokio::time::{Instant, timeout_at};

use crate::router::event::{Admission, Choice, Resolved, RouterEvent};
use crate::router::serving::attempt_failure::AttemptFailure;
use crate::router::serving::attempt_stream::AttemptStream;
use crate::router::serving::claim_gate::{ClaimDecision, ClaimRequest};
use crate::router::serving::opened_answer::Source;
use crate::router::serving::{CallerRequest, Dispatcher, OpenedAnswer};

/// Attempts of one request.
const ATTEMPTS_MAX: u32 = 4;
/// Time by which an agent's deadline comes before the caller's, in milliseconds.
const AGENT_DEADLINE_MARGIN_MS: u64 = 20;

/// One request on its way to a whole answer.
#[derive(Debug)]
pub(crate) struct Conversation {
    dispatcher: Dispatcher,
    request_id: RequestId,
    key: Option<IdempotencyKey>,
    deadline: Instant,
    deadline_ms: u64,
    class: Class,
    digest: Digest,
    admission: Admission,
    work: WorkSpec,
    attempts: u32,
    avoid: Vec<VmId>,
    may_have_run: bool,
}

impl Conversation {
    pub(crate) fn new(
        dispatcher: &Dispatcher,
        request: &CallerRequest,
        admission: Admission,
        work: WorkSpec,
    ) -> Result<Self, Refusal> {
        let head = &request.head;
        let timeout_ms = check_timeout(&admission, head.timeout_ms)?;
        let class = check_class(&admission, head.class)?;
        if !is_idempotent(&work) && head.key.is_none() {
            let detail = "the call is not idempotent; allowed: Idempotency-Key: KEY";
            return Err(Refusal::not_run(RefusalCode::KeyRequired, detail));
        }
        let spec = serde_json::to_vec(&work).expect("message types serialise to JSON");
        Ok(Self {
            dispatcher: dispatcher.clone(),
            request_id: request.request_id.clone(),
            key: head.key.clone(),
            deadline: Instant::now() + Duration::from_millis(timeout_ms),
            deadline_ms: dispatcher.clock.now_ms() + timeout_ms,
            class,
            digest: token::sha256(&spec),
            admission,
            work,
            attempts: 0,
            avoid: Vec::new(),
            may_have_run: false,
        })
    }

    pub(crate) fn request_id(&self) -> &RequestId {
        &self.request_id
    }

    pub(crate) fn model_name(&self) -> String {
        match &self.admission.resolved {
            Resolved::Model { model, .. } => model.to_string(),
            Resolved::Application { .. } => String::new(),
        }
    }

    /// Tries endpoints until one begins to answer.
    pub(crate) async fn open(mut self) -> Result<OpenedAnswer, Refusal> {
        let (source, first) = self.try_endpoints().await?;
        Ok(OpenedAnswer::new(self, source, first))
    }

    /// Replaces an attempt that was lost before anything was delivered.
    pub(crate) async fn reopen(
        &mut self,
        failure: AttemptFailure,
    ) -> Result<(Source, Option<Payload>), Refusal> {
        self.retry_after(failure)?;
        self.try_endpoints().await
    }

    /// Ends the request with a failed attempt and returns what the caller is told.
    pub(crate) fn end(&mut self, failure: AttemptFailure) -> Refusal {
        self.may_have_run |= !failure.not_run();
        self.honest(failure.refusal)
    }

    async fn try_endpoints(&mut self) -> Result<(Source, Option<Payload>), Refusal> {
        loop {
            let choice = self.choose().await?;
            self.attempts += 1;
            self.avoid.push(choice.vm.id.clone());
            match self.try_at(choice).await? {
                Ok(begun) => return Ok(begun),
                Err(failure) => self.retry_after(failure)?,
            }
        }
    }

    async fn choose(&mut self) -> Result<Choice, Refusal> {
        let choosing = self.dispatcher.handle.choose(
            self.admission.group.clone(),
            self.model(),
            self.avoid.clone(),
        );
        match timeout_at(self.deadline, choosing).await {
            Ok(chosen) => chosen.map_err(|refusal| self.honest(refusal)),
            Err(_elapsed) => Err(self.deadline_passed()),
        }
    }

    /// Returns where another attempt is due, else refuses for good.
    fn retry_after(&mut self, failure: AttemptFailure) -> Result<(), Refusal> {
        self.may_have_run |= !failure.not_run();
        let repeatable = failure.not_run() || is_idempotent(&self.work);
        if repeatable && self.attempts < ATTEMPTS_MAX && is_transient(failure.refusal.code) {
            return Ok(());
        }
        Err(self.honest(failure.refusal))
    }

    /// Runs one attempt up to its first content.
    ///
    /// The outer error is final; the inner one is the attempt's.
    async fn try_at(
        &mut self,
        choice: Choice,
    ) -> Result<Result<(Source, Option<Payload>), AttemptFailure>, Refusal> {
        let attempt = AttemptRef {
            request_id: self.request_id.clone(),
            attempt: self.attempts,
        };
        let ticket = match self.claim(&choice, &attempt).await {
            Ok(None) => None,
            Ok(Some(ClaimDecision::Run(ticket))) => Some(ticket),
            Ok(Some(ClaimDecision::Recorded(answer))) => {
                self.not_dispatched(choice.vm.id);
                return Ok(Ok((Source::Recorded(answer), None)));
            }
            Ok(Some(ClaimDecision::Attach {
                address,
                vm,
                attempt,
            })) => {
                self.not_dispatched(choice.vm.id.clone());
                let opened = self
                    .dispatcher
                    .borders
                    .agents
                    .resume(address, attempt.clone(), 0)
                    .await;
                let frames = opened.map_err(|error| {
                    Refusal::may_have_run(RefusalCode::ResultUnknown, error.to_string())
                })?;
                let stream = self.stream(vm, address, attempt, frames);
                return Ok(first_of(stream).await);
            }
            Err(refusal) => {
                self.not_dispatched(choice.vm.id);
                return Err(self.honest(refusal));
            }
        };
        let request = self.attempt_request(&choice, ticket);
        let starting = self
            .dispatcher
            .borders
            .agents
            .start(choice.vm.address, request);
        let Ok(started) = timeout_at(self.deadline, starting).await else {
            self.not_dispatched(choice.vm.id);
            self.may_have_run = true;
            return Err(self.deadline_passed());
        };
        match started {
            Ok(frames) => {
                let stream = self.stream(choice.vm.id, choice.vm.address, attempt, frames);
                Ok(first_of(stream).await)
            }
            Err(error) if error.had_no_effect() => {
                self.not_dispatched(choice.vm.id);
                let refusal = Refusal::not_run(RefusalCode::NoEndpoint, error.to_string());
                Ok(Err(AttemptFailure::lost(refusal)))
            }
            Err(error) => {
                self.not_dispatched(choice.vm.id);
                let refusal = Refusal::may_have_run(RefusalCode::ResultUnknown, error.to_string());
                Ok(Err(AttemptFailure::lost(refusal)))
            }
        }
    }

    async fn claim(
        &self,
        choice: &Choice,
        attempt: &AttemptRef,
    ) -> Result<Option<ClaimDecision>, Refusal> {
        let (WorkSpec::Service(call), Some(key)) = (&self.work, &self.key) else {
            return Ok(None);
        };
        if call.idempotent {
            return Ok(None);
        }
        let request = ClaimRequest {
            caller: self.admission.caller.name.clone(),
            key: key.clone(),
            body_sha256: self.digest.clone(),
            attempt: attempt.clone(),
            vm: choice.vm.id.clone(),
            address: choice.vm.address,
            time_left_ms: self.time_left_ms(),
        };
        self.dispatcher.claims.take(request).await.map(Some)
    }

    fn stream(
        &self,
        vm: VmId,
        address: std::net::SocketAddr,
        attempt: AttemptRef,
        frames: chicorystage_platform::link::FrameStream,
    ) -> AttemptStream {
        AttemptStream::new(
            self.dispatcher.handle.clone(),
            self.dispatcher.borders.clone(),
            vm,
            address,
            attempt,
            frames,
            self.deadline,
            is_idempotent(&self.work),
        )
    }

    fn model(&self) -> Option<ModelName> {
        match &self.work {
            WorkSpec::Completion(completion) => Some(completion.model.clone()),
            WorkSpec::Service(_) => None,
        }
    }

    fn not_dispatched(&self, vm: VmId) {
        let ended = RouterEvent::AttemptEnded { vm, load: None };
        self.dispatcher.handle.tell_later(ended);
    }

    fn time_left_ms(&self) -> u64 {
        self.deadline_ms
            .saturating_sub(self.dispatcher.clock.now_ms())
    }

    fn deadline_passed(&self) -> Refusal {
        let detail = "the deadline passed before an endpoint answered";
        self.honest(Refusal::not_run(RefusalCode::DeadlineExceeded, detail))
    }

    /// Returns a refusal whose outcome counts every attempt of the request.
    fn honest(&self, mut refusal: Refusal) -> Refusal {
        if self.may_have_run {
            refusal.outcome = Outcome::MayHaveRun;
        }
        refusal
    }

    fn attempt_request(&self, choice: &Choice, claim: Option<ClaimTicket>) -> AttemptRequest {
        let time_left_ms = self.time_left_ms().saturating_sub(AGENT_DEADLINE_MARGIN_MS);
        AttemptRequest {
            request_id: self.request_id.clone(),
            attempt: self.attempts,
            caller: self.admission.caller.name.clone(),
            weight: self.admission.caller.weight,
            class: self.class,
            time_left_ms: time_left_ms.max(1),
            revision: self.admission.revision,
            digest: self.digest.clone(),
            suspect: false,
            grant: choice.grant.clone(),
            claim,
            work: self.work.clone(),
        }
    }
}

async fn first_of(mut stream: AttemptStream) -> Result<(Source, Option<Payload>), AttemptFailure> {
    let first = stream.next().await?;
    Ok((Source::Attempt(stream), Some(first)))
}

fn is_idempotent(work: &WorkSpec) -> bool {
    match work {
        WorkSpec::Completion(_) => true,
        WorkSpec::Service(call) => call.idempotent,
    }
}

/// Returns whether another endpoint may do better.
fn is_transient(code: RefusalCode) -> bool {
    matches!(
        code,
        RefusalCode::NoEndpoint
            | RefusalCode::Leaving
            | RefusalCode::NotPlaced
            | RefusalCode::MemoryFull
            | RefusalCode::LoadFailed
            | RefusalCode::Overloaded
            | RefusalCode::EndpointLost
            | RefusalCode::ResultUnknown
    )
}

fn check_timeout(admission: &Admission, given_ms: Option<u64>) -> Result<u64, Refusal> {
    let timeout_ms = given_ms.unwrap_or(admission.timeout_default_ms);
    let allowed_ms = admission.timeout_max_ms;
    if timeout_ms <= allowed_ms {
        return Ok(timeout_ms);
    }
    let detail = format!("given {timeout_ms} ms, allowed: up to {allowed_ms} ms");
    Err(Refusal::not_run(RefusalCode::BadTimeout, detail))
}

fn check_class(admission: &Admission, given: Option<Class>) -> Result<Class, Refusal> {
    let highest = admission.caller.class;
    let class = given.unwrap_or(highest);
    if class >= highest {
        return Ok(class);
    }
    let detail = format!("given {class}, allowed: {highest} or lower");
    Err(Refusal::not_run(RefusalCode::BadClass, detail))
}
