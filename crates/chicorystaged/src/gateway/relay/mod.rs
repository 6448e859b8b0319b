//! Relays an endpoint's answer to the caller and resumes event streams at other endpoints.
//!
//! An endpoint may fail or stall in the middle of a long answer. Of an event stream only complete
//! events are relayed, and one that ends within an event has broken off, however its end looks.
//! On routes whose streams may be repeated, the request is then sent to another endpoint with the
//! id of the last complete event, and the caller sees one uninterrupted stream. Resumes are limited
//! by the route's number of runs, the remaining time and the shared retry budget. An endpoint that is
//! only silent is given up once these are granted and another endpoint is reserved. Any other broken
//! answer ends the caller's connection without the end of the body.

pub mod event_timing;
pub mod relay_end;
mod report;
mod resume_failure;
mod resumption;
pub mod stream_origin;
mod takeover;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use chicorystage_api::name::EndpointId;
use chicorystage_borders::http::BodyFraming;
use chicorystage_core::events::{EventSplitter, EventTooLong};
use chicorystage_core::fleet::Requirements;
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::body::Frame;

use crate::gateway::answer_body::FrameStream;
use crate::gateway::attempt::{AnswerBroken, Answered};
use crate::gateway::caller_work::CallerWork;
use crate::gateway::crash_checks::{self, AnswerProgress, BrokenAttempt};
use crate::gateway::event_stream::consists_of_events;
use crate::gateway::in_progress::InProgress;
use crate::gateway::prompt_parts;
use crate::gateway::relay::event_timing::EventTiming;
use crate::gateway::relay::relay_end::RelayEnd;
use crate::gateway::relay::stream_origin::StreamOrigin;
use crate::gateway::relay::takeover::Takeover;
use crate::gateway::shared::Gateway;
use crate::gateway::{stream_origins, stream_rows};

/// Multiple of the route's pause objective after which a silent stream is resumed elsewhere.
const PAUSES_TOLERATED: u64 = 8;
/// Lower bound of the silence after which a stream is resumed elsewhere, in milliseconds.
const SILENCE_MIN_MS: u64 = 1_000;
/// Number of events of an endpoint after which its answer is past its beginning.
const BEGINNING_EVENTS: u32 = 4;
/// Interval at which a silent stream that is kept is examined again, in milliseconds.
const KEPT_CHECK_MS: u64 = 250;

/// State of an answer that is being relayed.
struct StreamRelay {
    gateway: Rc<Gateway>,
    work: CallerWork,
    requirements: Requirements,
    /// Answer of the endpoint that runs the request; `None` after it ended or broke off.
    answered: Option<Box<Answered>>,
    /// Endpoint of the latest answer.
    endpoint: EndpointId,
    /// Bytes of the body that were read and not taken in yet.
    read: Bytes,
    /// Splits the body into complete events; `None` where it does not consist of events.
    events: Option<EventSplitter>,
    /// Number of attempts that may have run the request.
    runs: u32,
    /// Number of times that events of the latest endpoint were relayed.
    events_relayed: u32,
    event_timing: EventTiming,
    origin: StreamOrigin,
    /// Framing of the latest endpoint's answer.
    framing: BodyFraming,
    /// Number of bytes of all endpoints' answers so far.
    received_bytes: usize,
    /// What goes on with the stream once its silent endpoint is given up.
    takeover: Option<Takeover>,
    /// Whether the endpoint is silent and waited for, since nothing else could go on.
    is_kept: bool,
    /// Whether the end of the answer has been logged.
    is_logged: bool,
    /// Counts the request as in progress until this value is dropped.
    #[expect(dead_code, reason = "kept for its effect on drop")]
    in_progress: InProgress,
}

/// Returns the body frames of an answer, resumed elsewhere where it breaks off.
///
/// `read` is what has been read of the body already; `runs` is the number of attempts that may have
/// run the request, this one included.
#[must_use]
pub fn relay(
    gateway: Rc<Gateway>,
    work: CallerWork,
    requirements: Requirements,
    answered: Box<Answered>,
    read: Bytes,
    runs: u32,
    in_progress: InProgress,
) -> FrameStream {
    let events = consists_of_events(&work.route, &answered.parts).then(EventSplitter::default);
    let framing = BodyFraming::of(&answered.parts.headers);
    // A stream that the caller takes up again has begun already.
    let origin = match &requirements.software {
        Some(software) => StreamOrigin::Version(software.clone()),
        None => StreamOrigin::default(),
    };
    let relay = StreamRelay {
        gateway,
        work,
        requirements,
        endpoint: answered.reservation.endpoint.clone(),
        answered: Some(answered),
        read,
        events,
        runs,
        events_relayed: 0,
        event_timing: EventTiming::default(),
        origin,
        framing,
        received_bytes: 0,
        takeover: None,
        is_kept: false,
        is_logged: false,
        in_progress,
    };
    Box::pin(stream::unfold(Some(relay), |relay| async {
        relay?.next().await
    }))
}

/// The next frame with the state after it; `None` after the end of the answer.
type Step = Option<(Result<Frame<Bytes>, AnswerBroken>, Option<StreamRelay>)>;

impl StreamRelay {
    /// Waits for the next bytes to relay; resumes the answer elsewhere if it breaks off or stalls.
    async fn next(mut self) -> Step {
        loop {
            let end = match self.next_bytes().await {
                Ok(bytes) => return Some((Ok(Frame::data(bytes)), Some(self))),
                Err(end) => end,
            };
            if end == RelayEnd::Whole {
                self.finish();
                return None;
            }
            if end.may_be_crash() {
                self.check_for_crash(self.progress());
            }
            if end == RelayEnd::Silent && !self.prepare_takeover() {
                continue;
            }
            if !self.resume(end).await {
                self.log_end(end);
                return Some((Err(AnswerBroken), None));
            }
        }
    }

    /// Waits for the next bytes that can be relayed.
    ///
    /// # Errors
    ///
    /// Returns how the endpoint's answer ended.
    async fn next_bytes(&mut self) -> Result<Bytes, RelayEnd> {
        // Parts of an event that never ends must not put this off.
        let until_ms = self.gateway.now_ms() + self.wait_max_ms();
        loop {
            let read = std::mem::take(&mut self.read);
            if let Some(bytes) = self.accept_bytes(read)? {
                return Ok(bytes);
            }
            self.read = self.read_frame(until_ms).await?;
        }
    }

    /// Reads the next frame of the endpoint's answer until a time on the gateway's clock, in
    /// milliseconds; returns its bytes.
    ///
    /// # Errors
    ///
    /// Returns how the answer ended, if there is no other frame or none in time.
    async fn read_frame(&mut self, until_ms: u64) -> Result<Bytes, RelayEnd> {
        let limit_ms = until_ms.saturating_sub(self.gateway.now_ms());
        if limit_ms == 0 {
            // A frame that is ready would win against a timer that has run out.
            return Err(self.end_of_wait());
        }
        let Some(answered) = &mut self.answered else {
            return Err(RelayEnd::ConnectionBroke);
        };
        let frame = answered.body.frame();
        match tokio::time::timeout(Duration::from_millis(limit_ms), frame).await {
            // Trailers are not relayed.
            Ok(Some(Ok(frame))) => Ok(frame.into_data().unwrap_or_default()),
            Ok(Some(Err(_broken))) => Err(RelayEnd::ConnectionBroke),
            Ok(None) => Err(self.end_of_body()),
            Err(_elapsed) => Err(self.end_of_wait()),
        }
    }

    /// Returns how the answer ended if nothing more is waited for.
    fn end_of_wait(&self) -> RelayEnd {
        if self.left_ms() == 0 {
            return RelayEnd::DeadlinePassed;
        }
        RelayEnd::Silent
    }

    /// Returns how the answer ended if its body ends here.
    ///
    /// The end of a connection may be that of a process, so that the content has a say.
    fn end_of_body(&self) -> RelayEnd {
        let is_end_marked = self.framing.is_end_marked();
        let may_end = self
            .events
            .as_ref()
            .is_none_or(|events| events.may_end(is_end_marked));
        if may_end {
            return RelayEnd::Whole;
        }
        if self.is_within_event() {
            return RelayEnd::WithinEvent;
        }
        RelayEnd::BeforeFirstEvent
    }

    /// Returns the time until the caller's deadline, in milliseconds.
    fn left_ms(&self) -> u64 {
        self.work.left_ms(self.gateway.now_ms())
    }

    /// Returns the longest wait for the next bytes to relay, in milliseconds.
    ///
    /// Before the first event the limit is at least the route's latency objective.
    fn wait_max_ms(&self) -> u64 {
        let left_ms = self.left_ms();
        if !self.may_resume() {
            return left_ms;
        }
        if self.is_kept {
            return left_ms.min(KEPT_CHECK_MS);
        }
        let silence_ms =
            (PAUSES_TOLERATED * self.work.route.pause_objective_ms).max(SILENCE_MIN_MS);
        let first_ms = silence_ms.max(self.work.route.objective_ms);
        left_ms.min(if self.event_timing.first_ms.is_some() {
            silence_ms
        } else {
            first_ms
        })
    }

    /// Takes in received bytes and returns those that can be relayed now, if any.
    ///
    /// # Errors
    ///
    /// Returns the end of the answer if its event has no end.
    fn accept_bytes(&mut self, bytes: Bytes) -> Result<Option<Bytes>, RelayEnd> {
        self.received_bytes += bytes.len();
        let bytes = match &mut self.events {
            Some(events) => events
                .push(bytes)
                .map_err(|EventTooLong { .. }| RelayEnd::EventTooLong)?,
            None => bytes,
        };
        if bytes.is_empty() {
            return Ok(None);
        }
        self.record_event();
        Ok(Some(bytes))
    }

    /// Checks in the background whether the endpoint of the answer has crashed.
    fn check_for_crash(&self, progress: AnswerProgress) {
        let Some(answered) = &self.answered else {
            return;
        };
        let service = &self.requirements.service;
        let attempt = BrokenAttempt::ending_now(&self.gateway, &self.work, service, progress);
        let address = answered.reservation.address;
        crash_checks::check(&self.gateway, self.endpoint.clone(), address, attempt);
    }

    /// Returns how far the endpoint has got with the answer.
    fn progress(&self) -> AnswerProgress {
        if self.events_relayed < BEGINNING_EVENTS {
            AnswerProgress::Beginning
        } else {
            AnswerProgress::Advanced
        }
    }

    /// Records the time of an event, and the first one in the metrics.
    fn record_event(&mut self) {
        let now_ms = self.gateway.now_ms();
        self.is_kept = false;
        if let Some(answered) = &self.answered {
            let software = answered.reservation.software.as_ref();
            self.origin.record_event(software);
        }
        if self.event_timing.first_ms.is_none() {
            self.record_begun();
        }
        self.events_relayed += 1;
        if self.events_relayed == BEGINNING_EVENTS {
            self.record_sound_prompt();
        }
        if let Some(first_ms) = self.event_timing.record(now_ms, self.work.arrived_ms) {
            let route = &self.work.route.name;
            self.gateway.metrics.first_byte_ms(route, first_ms);
        }
    }

    /// Records which software version began the stream, if it may be taken up again.
    fn record_begun(&self) {
        let is_resumable = self.work.route.kind.is_resumable();
        if let (true, Some(software)) = (is_resumable, self.origin.software()) {
            let stream = self.work.head.stream();
            let service = &self.requirements.service;
            stream_rows::begin(&self.gateway, &self.work, service, software);
            stream_origins::record_begun(&self.gateway, stream, software.clone());
        }
    }

    /// Records that the answer has got past its beginning.
    fn record_sound_prompt(&self) {
        let service = &self.requirements.service;
        prompt_parts::record_sound(&self.gateway, service, &self.work.head.shared_parts);
    }

    fn is_within_event(&self) -> bool {
        self.events
            .as_ref()
            .is_some_and(EventSplitter::has_partial_event)
    }
}
