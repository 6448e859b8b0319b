use std::net::SocketAddr;
use std::time::Duration;

use chicorystage_api::name::VmId;
use chicorystage_api::peer::AttemptRef;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_api::work::{EndpointLoad, HEARTBEAT_INTERVAL_MS, HEARTBEATS_MISSED_MAX, Payload};
use chicorystage_core::sequence::{FrameSequence, Sequenced};
use chicorystage_platform::BorderErrorKind;
use chicorystage_platform::link::FrameStream;
use tokio::time::{Instant, sleep, timeout_at};

use crate::router::borders::RouterBorders;
use crate::router::event::RouterEvent;
use crate::router::handle::RouterHandle;
use crate::router::serving::attempt_failure::AttemptFailure;

/// Longest silence of a live connection, in milliseconds.
const SILENCE_MAX_MS: u64 = HEARTBEAT_INTERVAL_MS * HEARTBEATS_MISSED_MAX;
/// Fresh connections tried in a row without a new frame.
const RESUMES_MAX: u32 = 4;
/// Pause before the second fresh connection in a row, in milliseconds; doubled from there on.
const RESUME_PAUSE_MS: u64 = 50;

/// The frames of one attempt, over as many connections as it takes.
///
/// Dropping it before the final frame gives the attempt up at its agent.
#[derive(Debug)]
pub(crate) struct AttemptStream {
    handle: RouterHandle,
    borders: RouterBorders,
    vm: VmId,
    address: SocketAddr,
    attempt: AttemptRef,
    frames: FrameStream,
    sequence: FrameSequence,
    deadline: Instant,
    load: Option<EndpointLoad>,
    resumes: u32,
    finished: bool,
    cancel_on_drop: bool,
}

impl AttemptStream {
    #[expect(
        clippy::too_many_arguments,
        reason = "a private constructor that names each part once"
    )]
    pub(crate) fn new(
        handle: RouterHandle,
        borders: RouterBorders,
        vm: VmId,
        address: SocketAddr,
        attempt: AttemptRef,
        frames: FrameStream,
        deadline: Instant,
        cancel_on_drop: bool,
    ) -> Self {
        let sequence = FrameSequence::new(attempt.attempt);
        Self {
            handle,
            borders,
            vm,
            address,
            attempt,
            frames,
            sequence,
            deadline,
            load: None,
            resumes: 0,
            finished: false,
            cancel_on_drop,
        }
    }

    /// Returns the next content; `End` is the last.
    pub(crate) async fn next(&mut self) -> Result<Payload, AttemptFailure> {
        let mut silent_at = silent_from_now();
        loop {
            let wake_at = silent_at.min(self.deadline);
            let Ok(received) = timeout_at(wake_at, self.frames.recv()).await else {
                if Instant::now() >= self.deadline {
                    return Err(deadline_passed());
                }
                self.resume().await?;
                silent_at = silent_from_now();
                continue;
            };
            let Some(frame) = received else {
                self.resume().await?;
                silent_at = silent_from_now();
                continue;
            };
            match self.sequence.accept(&frame) {
                Sequenced::Deliver => {
                    self.resumes = 0;
                    self.load = frame.load.or(self.load);
                    return self.deliver(frame.payload);
                }
                Sequenced::Alive => {
                    self.load = frame.load.or(self.load);
                    silent_at = silent_from_now();
                }
                Sequenced::Foreign => {}
                Sequenced::Gap => {
                    self.resume().await?;
                    silent_at = silent_from_now();
                }
            }
        }
    }

    fn deliver(&mut self, payload: Payload) -> Result<Payload, AttemptFailure> {
        self.finished = payload.is_final();
        match payload {
            Payload::Refused(refusal) => Err(AttemptFailure::refused(refusal)),
            payload => Ok(payload),
        }
    }

    /// Replaces the connection by a fresh one at the offset reached.
    async fn resume(&mut self) -> Result<(), AttemptFailure> {
        loop {
            if self.resumes >= RESUMES_MAX {
                return Err(lost("the endpoint's agent does not answer"));
            }
            self.pause().await?;
            self.resumes += 1;
            let offset = self.sequence.next_offset();
            let resumed = self
                .borders
                .agents
                .resume(self.address, self.attempt.clone(), offset);
            match timeout_at(self.deadline, resumed).await {
                Ok(Ok(frames)) => {
                    self.frames = frames;
                    return Ok(());
                }
                Ok(Err(error)) if error.kind() == BorderErrorKind::Rejected => {
                    self.finished = true;
                    return Err(lost(&error.to_string()));
                }
                Ok(Err(_no_connection)) => {}
                Err(_elapsed) => return Err(deadline_passed()),
            }
        }
    }

    async fn pause(&self) -> Result<(), AttemptFailure> {
        if self.resumes == 0 {
            return Ok(());
        }
        let pause = sleep(Duration::from_millis(RESUME_PAUSE_MS << self.resumes));
        timeout_at(self.deadline, pause)
            .await
            .map_err(|_elapsed| deadline_passed())
    }
}

impl Drop for AttemptStream {
    fn drop(&mut self) {
        let ended = RouterEvent::AttemptEnded {
            vm: self.vm.clone(),
            load: self.load,
        };
        self.handle.tell_later(ended);
        if self.finished || !self.cancel_on_drop {
            return;
        }
        let (borders, address) = (self.borders.clone(), self.address);
        let attempt = self.attempt.clone();
        self.handle.spawn_later(async move {
            // An agent that cannot be reached gives the attempt up at its deadline.
            let _cancelled = borders.agents.cancel(address, attempt).await;
        });
    }
}

fn silent_from_now() -> Instant {
    Instant::now() + Duration::from_millis(SILENCE_MAX_MS)
}

fn deadline_passed() -> AttemptFailure {
    let detail = "the deadline passed before the answer was complete";
    AttemptFailure::lost(Refusal::may_have_run(RefusalCode::DeadlineExceeded, detail))
}

fn lost(detail: &str) -> AttemptFailure {
    AttemptFailure::lost(Refusal::may_have_run(RefusalCode::EndpointLost, detail))
}
