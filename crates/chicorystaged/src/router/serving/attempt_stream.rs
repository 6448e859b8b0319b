use std::net::SocketAddr;
use std::time::Duration;

use chicorystage_api::peer::AttemptRef;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_api::work::{EndpointLoad, HEARTBEAT_INTERVAL_MS, HEARTBEATS_MISSED_MAX, Payload};
use chicorystage_borders::BorderErrorKind;
use chicorystage_borders::link::FrameStream;
use chicorystage_core::sequence::{FrameDecision, FrameSequence};
use tokio::time::{Instant, sleep, timeout_at};

use crate::router::serving::attempt_failure::AttemptFailure;
use crate::router::serving::{Dispatcher, InFlightGuard};

/// Time without a frame after which a connection is replaced, in milliseconds.
const SILENCE_MAX_MS: u64 = HEARTBEAT_INTERVAL_MS * HEARTBEATS_MISSED_MAX;
/// Maximum number of new connections in a row that deliver no new content.
const RESUMES_MAX: u32 = 4;
/// Base of the pause between new connections in a row, in milliseconds.
///
/// The first new connection is opened at once; the pause before each further
/// one is this value doubled once for every connection already opened.
const RESUME_PAUSE_MS: u64 = 50;

/// The content of one attempt, which survives the loss of its connection.
///
/// A connection that ends, is silent for too long or skips a frame is replaced
/// by a new one that resumes at the offset reached. Dropping the stream before
/// the final frame cancels the attempt at its agent if
/// [`cancelled_on_drop`](Self::cancelled_on_drop) was set.
#[derive(Debug)]
pub(crate) struct AttemptStream {
    dispatcher: Dispatcher,
    flight: Option<InFlightGuard>,
    address: SocketAddr,
    attempt: AttemptRef,
    frames: FrameStream,
    sequence: FrameSequence,
    deadline: Instant,
    resumes: u32,
    resumes_max: u32,
    finished: bool,
    cancel_on_drop: bool,
}

impl AttemptStream {
    /// Creates the stream of an attempt from its first connection.
    ///
    /// If `frames` has ended already, the attempt is resumed over a new connection.
    pub(crate) fn new(
        dispatcher: Dispatcher,
        address: SocketAddr,
        attempt: AttemptRef,
        frames: FrameStream,
        deadline: Instant,
    ) -> Self {
        let sequence = FrameSequence::new(attempt.attempt);
        Self {
            dispatcher,
            flight: None,
            address,
            attempt,
            frames,
            sequence,
            deadline,
            resumes: 0,
            resumes_max: RESUMES_MAX,
            finished: false,
            cancel_on_drop: false,
        }
    }

    /// Counts the attempt as in flight at its endpoint until the stream is dropped.
    pub(crate) fn counted_in_flight(mut self, flight: InFlightGuard) -> Self {
        self.flight = Some(flight);
        self
    }

    /// Allows only one new connection until the first content arrives.
    ///
    /// For an attempt whose delivery is unknown: it may never have reached its agent.
    pub(crate) fn delivery_unknown(mut self) -> Self {
        self.resumes_max = 1;
        self
    }

    /// Cancels the attempt at its agent if the stream is dropped before the final frame.
    pub(crate) fn cancelled_on_drop(mut self) -> Self {
        self.cancel_on_drop = true;
        self
    }

    /// Returns the next content; `End` is the last.
    ///
    /// # Errors
    ///
    /// Fails if the agent refuses, the deadline passes, or new connections bring
    /// no content [`RESUMES_MAX`] times in a row (once if the delivery is unknown).
    pub(crate) async fn next(&mut self) -> Result<Payload, AttemptFailure> {
        let mut silence_at = silence_deadline();
        loop {
            let wake_at = silence_at.min(self.deadline);
            let Ok(received) = timeout_at(wake_at, self.frames.recv()).await else {
                if Instant::now() >= self.deadline {
                    return Err(deadline_passed());
                }
                self.resume().await?;
                silence_at = silence_deadline();
                continue;
            };
            let Some(frame) = received else {
                self.resume().await?;
                silence_at = silence_deadline();
                continue;
            };
            match self.sequence.accept(&frame) {
                FrameDecision::Deliver => {
                    self.resumes = 0;
                    self.resumes_max = RESUMES_MAX;
                    self.report(frame.load);
                    return self.deliver(frame.payload);
                }
                FrameDecision::Alive => {
                    self.report(frame.load);
                    silence_at = silence_deadline();
                }
                FrameDecision::Foreign => {}
                FrameDecision::Gap => {
                    self.resume().await?;
                    silence_at = silence_deadline();
                }
            }
        }
    }

    /// Keeps the load that the endpoint reported with a frame.
    fn report(&mut self, load: Option<EndpointLoad>) {
        if let Some(flight) = &mut self.flight {
            flight.report(load);
        }
    }

    /// Returns the content, or the attempt's failure if the agent refused it.
    fn deliver(&mut self, payload: Payload) -> Result<Payload, AttemptFailure> {
        self.finished = payload.is_final();
        match payload {
            Payload::Refused(refusal) => Err(AttemptFailure::refused(refusal)),
            payload => Ok(payload),
        }
    }

    /// Replaces the connection by a new one that starts at the offset reached.
    ///
    /// An agent that rejects the request no longer has the attempt, which is then lost.
    async fn resume(&mut self) -> Result<(), AttemptFailure> {
        loop {
            if self.resumes >= self.resumes_max {
                let offset = self.sequence.next_offset();
                return Err(lost(offset, "the endpoint's agent does not answer"));
            }
            self.pause().await?;
            self.resumes += 1;
            let offset = self.sequence.next_offset();
            self.dispatcher.metrics.count_resume();
            let agents = &self.dispatcher.borders.agents;
            let resumed = agents.resume(self.address, self.attempt.clone(), offset);
            match timeout_at(self.deadline, resumed).await {
                Ok(Ok(frames)) => {
                    self.frames = frames;
                    return Ok(());
                }
                Ok(Err(error)) if error.kind() == BorderErrorKind::Rejected => {
                    self.finished = true;
                    return Err(lost(offset, &error.to_string()));
                }
                Ok(Err(_no_connection)) => {}
                Err(_elapsed) => return Err(deadline_passed()),
            }
        }
    }

    /// Waits before a new connection, unless it is the first in a row.
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
        if self.finished || !self.cancel_on_drop {
            return;
        }
        let (borders, address) = (self.dispatcher.borders.clone(), self.address);
        let attempt = self.attempt.clone();
        self.dispatcher.handle.spawn(async move {
            // An agent that cannot be reached abandons the attempt at its deadline.
            let _cancelled = borders.agents.cancel(address, attempt).await;
        });
    }
}

fn silence_deadline() -> Instant {
    Instant::now() + Duration::from_millis(SILENCE_MAX_MS)
}

fn deadline_passed() -> AttemptFailure {
    let detail = "the deadline passed before the answer was complete";
    AttemptFailure::lost(Refusal::may_have_run(RefusalCode::DeadlineExceeded, detail))
}

/// Returns the failure of an attempt that can no longer be followed.
///
/// Before the first content the attempt may not have reached its agent, so the
/// code is `ResultUnknown`; later it is `EndpointLost`.
fn lost(next_offset: u64, detail: &str) -> AttemptFailure {
    let code = if next_offset == 0 {
        RefusalCode::ResultUnknown
    } else {
        RefusalCode::EndpointLost
    };
    AttemptFailure::lost(Refusal::may_have_run(code, detail))
}
