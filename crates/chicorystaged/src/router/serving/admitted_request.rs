use std::net::SocketAddr;

use chicorystage_api::name::{ModelName, VmId};
use chicorystage_api::peer::AttemptRef;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_api::work::{AttemptRequest, ClaimTicket, SlotGrant, WorkSpec};
use chicorystage_borders::link::FrameStream;
use tokio::sync::mpsc;
use tokio::time::timeout_at;

use crate::router::event::{Admission, Choice};
use crate::router::serving::attempt_stream::AttemptStream;
use crate::router::serving::send_failure::SendFailure;
use crate::router::serving::terms::RequestTerms;
use crate::router::serving::{ChooseRequest, Dispatcher, WaitGuard};

/// Margin by which an agent's deadline precedes the caller's, in milliseconds.
const AGENT_DEADLINE_MARGIN_MS: u64 = 20;

/// An admitted request: everything that is the same for all of its attempts.
#[derive(Clone, Debug)]
pub(crate) struct AdmittedRequest {
    pub(super) dispatcher: Dispatcher,
    pub(super) terms: RequestTerms,
    pub(super) admission: Admission,
    pub(super) work: WorkSpec,
}

/// The parameters in which the attempts of a request differ.
#[derive(Clone, Debug)]
pub(super) struct AttemptTerms {
    /// Number of the attempt, from 1.
    pub(super) attempt: u32,
    /// Proof that the VM holds a slot of the model; `None` for a service.
    pub(super) grant: Option<SlotGrant>,
    /// Committed claim of a call that is not idempotent.
    pub(super) claim: Option<ClaimTicket>,
    /// Whether the work must run alone.
    pub(super) alone: bool,
}

impl AdmittedRequest {
    /// Enters the wait queue; the place is released when the guard is dropped.
    pub(super) async fn wait(&self) -> Result<WaitGuard, Refusal> {
        let caller = &self.admission.caller;
        let digest = self.terms.digest.clone();
        let handle = &self.dispatcher.handle;
        handle
            .enter_queue(caller.name.clone(), caller.weight, self.terms.class, digest)
            .await
    }

    /// Asks the main loop to choose a VM for the next attempt.
    ///
    /// With `allow_avoided`, a VM in `avoid` may be chosen if there is no other.
    pub(super) async fn choose(
        &self,
        avoid: &[VmId],
        allow_avoided: bool,
    ) -> Result<Choice, Refusal> {
        let choosing = self.dispatcher.handle.choose(ChooseRequest {
            group: self.admission.group.clone(),
            model: self.model(),
            avoid: avoid.to_vec(),
            allow_avoided,
            prefix_key: self.terms.prefix_key,
            deadline_ms: self.terms.deadline_ms,
        });
        match timeout_at(self.terms.deadline, choosing).await {
            Ok(chosen) => chosen,
            Err(_elapsed) => Err(deadline_passed()),
        }
    }

    /// Sends an attempt to an agent and returns the connection's frames.
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        attempt: AttemptTerms,
    ) -> Result<FrameStream, SendFailure> {
        let request = self.attempt_request(attempt);
        let starting = self.dispatcher.borders.agents.start(address, request);
        match timeout_at(self.terms.deadline, starting).await {
            Ok(Ok(frames)) => Ok(frames),
            Ok(Err(error)) if error.had_no_effect() => {
                Err(SendFailure::NotDelivered(error.to_string().into()))
            }
            Ok(Err(_unknown)) => Err(SendFailure::Unknown),
            Err(_elapsed) => Err(SendFailure::TooLate),
        }
    }

    /// Returns the stream of an attempt.
    ///
    /// Dropping the stream cancels the attempt only for idempotent work.
    pub(super) fn stream(
        &self,
        address: SocketAddr,
        attempt: AttemptRef,
        frames: FrameStream,
    ) -> AttemptStream {
        let dispatcher = self.dispatcher.clone();
        let stream = AttemptStream::new(dispatcher, address, attempt, frames, self.terms.deadline);
        if self.terms.idempotent {
            return stream.cancelled_on_drop();
        }
        stream
    }

    pub(super) fn attempt_ref(&self, attempt: u32) -> AttemptRef {
        AttemptRef {
            request_id: self.terms.request_id.clone(),
            attempt,
        }
    }

    pub(super) fn time_left_ms(&self) -> u64 {
        let now_ms = self.dispatcher.clock.now_ms();
        self.terms.deadline_ms.saturating_sub(now_ms)
    }

    /// Builds the message to the agent, with the time left reduced by the deadline margin.
    fn attempt_request(&self, attempt: AttemptTerms) -> AttemptRequest {
        let time_left_ms = self.time_left_ms();
        let agent_time_left_ms = time_left_ms.saturating_sub(AGENT_DEADLINE_MARGIN_MS);
        AttemptRequest {
            request_id: self.terms.request_id.clone(),
            attempt: attempt.attempt,
            caller: self.admission.caller.name.clone(),
            weight: self.admission.caller.weight,
            class: self.terms.class,
            time_left_ms: agent_time_left_ms.max(1),
            revision: self.admission.revision,
            digest: self.terms.digest.clone(),
            suspect: attempt.alone,
            grant: attempt.grant,
            claim: attempt.claim,
            work: self.work.clone(),
        }
    }

    /// Returns the model that the work needs; `None` for a service.
    fn model(&self) -> Option<ModelName> {
        match &self.work {
            WorkSpec::Completion(completion) => Some(completion.model.clone()),
            WorkSpec::Service(_) => None,
        }
    }
}

/// Returns the refusal of a request whose deadline passed between attempts.
pub(super) fn deadline_passed() -> Refusal {
    let detail = "the deadline passed before an endpoint answered";
    Refusal::not_run(RefusalCode::DeadlineExceeded, detail)
}

/// Returns a connection that has already ended, so that the stream opens a new one.
pub(super) fn ended_connection() -> FrameStream {
    let (_sender, receiver) = mpsc::channel(1);
    receiver
}
