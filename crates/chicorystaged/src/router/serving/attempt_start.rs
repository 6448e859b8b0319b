//! How one attempt of a request is chosen, claimed and dispatched.

use std::net::SocketAddr;

use chicorystage_api::name::ModelName;
use chicorystage_api::peer::{AttemptRef, TraceEvent};
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_api::work::{AttemptRequest, ClaimTicket, WorkSpec};
use chicorystage_core::suspects::Standing;
use chicorystage_platform::link::FrameStream;
use tokio::sync::mpsc;
use tokio::time::timeout_at;

use crate::router::event::Choice;
use crate::router::serving::ChooseRequest;
use crate::router::serving::attempt_failure::AttemptFailure;
use crate::router::serving::attempt_stream::AttemptStream;
use crate::router::serving::claim_gate::{ClaimDecision, ClaimRequest};
use crate::router::serving::conversation::{Begun, Conversation, CurrentAttempt, deadline_passed};
use crate::router::serving::opened_answer::Source;

/// Time by which an agent's deadline comes before the caller's, in milliseconds.
const AGENT_DEADLINE_MARGIN_MS: u64 = 20;

impl Conversation {
    pub(super) async fn choose(&mut self) -> Result<Choice, Refusal> {
        let choosing = self.dispatcher.handle.choose(ChooseRequest {
            group: self.admission.group.clone(),
            model: self.model(),
            avoid: self.avoid.clone(),
            prefix_key: self.terms.prefix_key,
            deadline_ms: self.terms.deadline_ms,
        });
        match timeout_at(self.terms.deadline, choosing).await {
            Ok(chosen) => chosen,
            Err(_elapsed) => Err(deadline_passed()),
        }
    }

    /// Runs one attempt up to its first content.
    pub(super) async fn attempt(&mut self, choice: Choice) -> Result<Begun, AttemptFailure> {
        self.attempts += 1;
        let alone = self.standing == Standing::Suspect;
        self.record.step(TraceEvent::Chosen {
            attempt: self.attempts,
            vm: choice.vm.id.clone(),
            estimated_wait_ms: choice.estimated_wait_ms,
            suspect: alone,
        });
        if !self.avoid.contains(&choice.vm.id) {
            self.avoid.push(choice.vm.id.clone());
        }
        self.current = Some(CurrentAttempt {
            vm: choice.vm.id.clone(),
            grant: choice.grant.clone(),
            alone,
        });
        let attempt = AttemptRef {
            request_id: self.terms.request_id.clone(),
            attempt: self.attempts,
        };
        match self.claim(&choice, &attempt).await? {
            Some(ClaimDecision::Recorded(answer)) => Ok((Source::Recorded(answer), None)),
            Some(ClaimDecision::Attach {
                address, attempt, ..
            }) => self.attach(address, attempt).await,
            Some(ClaimDecision::Run(ticket)) => self.start(choice, attempt, Some(ticket)).await,
            None => self.start(choice, attempt, None).await,
        }
    }

    /// Claims a call that is not idempotent, before it is dispatched.
    async fn claim(
        &mut self,
        choice: &Choice,
        attempt: &AttemptRef,
    ) -> Result<Option<ClaimDecision>, AttemptFailure> {
        let (false, Some(key)) = (self.terms.idempotent, &self.terms.key) else {
            return Ok(None);
        };
        let request = ClaimRequest {
            caller: self.admission.caller.name.clone(),
            key: key.clone(),
            body_sha256: self.terms.digest.clone(),
            attempt: attempt.clone(),
            vm: choice.vm.id.clone(),
            address: choice.vm.address,
            time_left_ms: self.time_left_ms(),
        };
        let taken = self.dispatcher.claims.take(request.clone()).await;
        let decision = taken.map_err(AttemptFailure::lost)?;
        if let ClaimDecision::Run(ticket) = &decision {
            self.claimed = Some((request, ticket.clone()));
        }
        Ok(Some(decision))
    }

    /// Follows the attempt of an earlier request with the same key.
    async fn attach(
        &mut self,
        address: SocketAddr,
        attempt: AttemptRef,
    ) -> Result<Begun, AttemptFailure> {
        // The earlier request's effect is this one's too, whatever becomes of the frames.
        self.may_have_run = true;
        first_of(self.stream(address, attempt, ended_connection())).await
    }

    async fn start(
        &mut self,
        choice: Choice,
        attempt: AttemptRef,
        ticket: Option<ClaimTicket>,
    ) -> Result<Begun, AttemptFailure> {
        let address = choice.vm.address;
        let request = self.attempt_request(&choice, ticket);
        let starting = self.dispatcher.borders.agents.start(address, request);
        let started = timeout_at(self.terms.deadline, starting).await;
        let stream = match started {
            Ok(Ok(frames)) => self.stream(address, attempt, frames),
            Ok(Err(error)) if error.had_no_effect() => {
                let refusal = Refusal::not_run(RefusalCode::NoEndpoint, error.to_string());
                return Err(AttemptFailure::lost(refusal));
            }
            // The attempt may run though its connection failed: a fresh one tells.
            Ok(Err(_unknown)) => self.stream(address, attempt, ended_connection()),
            Err(_elapsed) => {
                drop(self.stream(address, attempt, ended_connection()));
                let refusal = Refusal::may_have_run(
                    RefusalCode::DeadlineExceeded,
                    "the deadline passed while the attempt was sent",
                );
                return Err(AttemptFailure::lost(refusal));
            }
        };
        first_of(stream.with_flight(choice.flight)).await
    }

    /// Follows an attempt; only idempotent work is given up with its caller.
    fn stream(
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

    fn attempt_request(&self, choice: &Choice, claim: Option<ClaimTicket>) -> AttemptRequest {
        let time_left_ms = self.time_left_ms();
        let agent_time_left_ms = time_left_ms.saturating_sub(AGENT_DEADLINE_MARGIN_MS);
        AttemptRequest {
            request_id: self.terms.request_id.clone(),
            attempt: self.attempts,
            caller: self.admission.caller.name.clone(),
            weight: self.admission.caller.weight,
            class: self.terms.class,
            time_left_ms: agent_time_left_ms.max(1),
            revision: self.admission.revision,
            digest: self.terms.digest.clone(),
            suspect: self.standing == Standing::Suspect,
            grant: choice.grant.clone(),
            claim,
            work: self.work.clone(),
        }
    }

    fn model(&self) -> Option<ModelName> {
        match &self.work {
            WorkSpec::Completion(completion) => Some(completion.model.clone()),
            WorkSpec::Service(_) => None,
        }
    }

    fn time_left_ms(&self) -> u64 {
        let now_ms = self.dispatcher.clock.now_ms();
        self.terms.deadline_ms.saturating_sub(now_ms)
    }
}

async fn first_of(mut stream: AttemptStream) -> Result<Begun, AttemptFailure> {
    let first = stream.next().await?;
    Ok((Source::Attempt(Box::new(stream)), Some(first)))
}

/// Returns a connection that has ended, in whose place a fresh one is opened.
fn ended_connection() -> FrameStream {
    let (_sender, receiver) = mpsc::channel(1);
    receiver
}
