use std::time::Duration;

use chicorystage_api::inventory::Class;
use chicorystage_api::name::{Digest, ModelName, RequestId, VmId};
use chicorystage_api::peer::AttemptRef;
use chicorystage_api::refusal::{Outcome, Refusal, RefusalCode};
use chicorystage_api::work::{
    AttemptRequest, Frame, HEARTBEAT_INTERVAL_MS, HEARTBEATS_MISSED_MAX, Payload, WorkSpec,
};
use chicorystage_core::token;
use chicorystage_platform::link::FrameStream;
use tokio::time::timeout;

use crate::router::borders::RouterBorders;
use crate::router::caller_api::request_head::RequestHead;
use crate::router::event::{Admission, Choice, RouterEvent};
use crate::router::handle::RouterHandle;
use crate::timer::Clock;

/// Attempts of one request.
const ATTEMPTS_MAX: u32 = 3;

/// One request on its way to a whole answer.
#[derive(Debug)]
pub(crate) struct Conversation {
    handle: RouterHandle,
    borders: RouterBorders,
    clock: Clock,
    request_id: RequestId,
    deadline_ms: u64,
    class: Class,
    digest: Digest,
    admission: Admission,
    work: WorkSpec,
}

/// An attempt whose first frame has come.
#[derive(Debug)]
pub(crate) struct OpenedAnswer {
    handle: RouterHandle,
    borders: RouterBorders,
    choice: Choice,
    attempt: AttemptRef,
    frames: FrameStream,
    first: Option<Frame>,
    next_offset: u64,
    clock: Clock,
    deadline_ms: u64,
}

impl Conversation {
    pub(crate) fn new(
        handle: &RouterHandle,
        borders: &RouterBorders,
        clock: Clock,
        head: &RequestHead,
        admission: Admission,
        work: WorkSpec,
    ) -> Result<Self, Refusal> {
        let timeout_ms = head.timeout_ms.unwrap_or(admission.timeout_default_ms);
        if timeout_ms > admission.timeout_max_ms {
            let detail = format!(
                "given {timeout_ms} ms, allowed: up to {} ms",
                admission.timeout_max_ms
            );
            return Err(Refusal::not_run(RefusalCode::BadTimeout, detail));
        }
        let class = head.class.unwrap_or(admission.caller.class);
        if class < admission.caller.class {
            let detail = format!(
                "given {class}, allowed: {} or lower",
                admission.caller.class
            );
            return Err(Refusal::not_run(RefusalCode::BadClass, detail));
        }
        let spec = serde_json::to_vec(&work).expect("message types serialise to JSON");
        Ok(Self {
            handle: handle.clone(),
            borders: borders.clone(),
            clock,
            request_id: RequestId::from(format!("req-{:032x}", rand::random::<u128>())),
            deadline_ms: clock.now_ms() + timeout_ms,
            class,
            digest: token::sha256(&spec),
            admission,
            work,
        })
    }

    pub(crate) fn request_id(&self) -> &RequestId {
        &self.request_id
    }

    /// Tries endpoints until one begins to answer.
    pub(crate) async fn open(self) -> Result<OpenedAnswer, Refusal> {
        let mut avoid: Vec<VmId> = Vec::new();
        let mut attempt = 1;
        loop {
            let choice = self
                .handle
                .choose(self.admission.group.clone(), self.model(), avoid.clone())
                .await?;
            let vm = choice.vm.id.clone();
            match self.try_at(choice, attempt).await {
                Ok(opened) => return Ok(opened),
                Err(refusal) if refusal.outcome == Outcome::NotRun && attempt < ATTEMPTS_MAX => {
                    avoid.push(vm);
                    attempt += 1;
                }
                Err(refusal) => return Err(refusal),
            }
        }
    }

    fn model(&self) -> Option<ModelName> {
        match &self.work {
            WorkSpec::Completion(completion) => Some(completion.model.clone()),
            WorkSpec::Service(_) => None,
        }
    }

    async fn try_at(&self, choice: Choice, attempt: u32) -> Result<OpenedAnswer, Refusal> {
        let request = self.attempt_request(&choice, attempt);
        let attempt = AttemptRef {
            request_id: self.request_id.clone(),
            attempt,
        };
        let started = self.borders.agents.start(choice.vm.address, request).await;
        let frames = started.map_err(|error| {
            if error.had_no_effect() {
                return Refusal::not_run(RefusalCode::NoEndpoint, error.to_string());
            }
            Refusal::may_have_run(RefusalCode::ResultUnknown, error.to_string())
        });
        let frames = match frames {
            Ok(frames) => frames,
            Err(refusal) => {
                let ended = RouterEvent::AttemptEnded {
                    vm: choice.vm.id,
                    load: None,
                };
                self.handle.tell(ended).await;
                return Err(refusal);
            }
        };
        let mut opened = OpenedAnswer {
            handle: self.handle.clone(),
            borders: self.borders.clone(),
            choice,
            attempt,
            frames,
            first: None,
            next_offset: 0,
            clock: self.clock,
            deadline_ms: self.deadline_ms,
        };
        let first = opened.next().await;
        if let Payload::Refused(refusal) = first.payload {
            opened.close().await;
            return Err(refusal);
        }
        opened.first = Some(first);
        Ok(opened)
    }

    fn attempt_request(&self, choice: &Choice, attempt: u32) -> AttemptRequest {
        AttemptRequest {
            request_id: self.request_id.clone(),
            attempt,
            caller: self.admission.caller.name.clone(),
            weight: self.admission.caller.weight,
            class: self.class,
            time_left_ms: self.deadline_ms.saturating_sub(self.clock.now_ms()),
            revision: self.admission.revision,
            digest: self.digest.clone(),
            suspect: false,
            grant: choice.grant.clone(),
            claim: None,
            work: self.work.clone(),
        }
    }
}

impl OpenedAnswer {
    /// Returns the next content frame; the last one is final.
    ///
    /// A silent or cut connection is replaced by a fresh one at the same offset.
    pub(crate) async fn next(&mut self) -> Frame {
        if let Some(first) = self.first.take() {
            return first;
        }
        loop {
            let left_ms = self.deadline_ms.saturating_sub(self.clock.now_ms());
            if left_ms == 0 {
                let refusal =
                    Refusal::may_have_run(RefusalCode::DeadlineExceeded, "the deadline passed");
                return self.refused(refusal);
            }
            let silence_ms = (HEARTBEAT_INTERVAL_MS * HEARTBEATS_MISSED_MAX).min(left_ms);
            match timeout(Duration::from_millis(silence_ms), self.frames.recv()).await {
                Ok(Some(frame)) => {
                    if frame.attempt != self.attempt.attempt || frame.offset != self.next_offset {
                        continue;
                    }
                    if !frame.payload.is_content() {
                        continue;
                    }
                    self.next_offset += 1;
                    return frame;
                }
                Ok(None) | Err(_) => {
                    if let Err(refusal) = self.resume().await {
                        return self.refused(refusal);
                    }
                }
            }
        }
    }

    /// Ends the attempt and tells the loop.
    pub(crate) async fn close(self) {
        let ended = RouterEvent::AttemptEnded {
            vm: self.choice.vm.id,
            load: None,
        };
        self.handle.tell(ended).await;
    }

    async fn resume(&mut self) -> Result<(), Refusal> {
        let address = self.choice.vm.address;
        let resumed = self
            .borders
            .agents
            .resume(address, self.attempt.clone(), self.next_offset)
            .await;
        self.frames = resumed
            .map_err(|error| Refusal::may_have_run(RefusalCode::EndpointLost, error.to_string()))?;
        Ok(())
    }

    fn refused(&self, refusal: Refusal) -> Frame {
        Frame {
            attempt: self.attempt.attempt,
            offset: self.next_offset,
            load: None,
            payload: Payload::Refused(refusal),
        }
    }
}
