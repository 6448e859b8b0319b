//! Reads answers that are short enough to be repeated if they break off.

use std::time::Duration;

use bytes::Bytes;
use chicorystage_borders::http::BodyFraming;
use chicorystage_core::events::is_whole_stream;
use chicorystage_platform::endpoint_answer;
use http::Response;
use http::header::CONTENT_LENGTH;
use http::response::Parts;
use hyper::body::Body;

use crate::gateway::answer_body::{AnswerBody, buffered};
use crate::gateway::attempt::{self, Answered};
use crate::gateway::event_stream::{consists_of_events, is_event_stream};
use crate::gateway::loss_reason::LossReason;
use crate::gateway::serving::Serving;
use crate::gateway::serving::short_body::{ShortBody, read_short};

/// Largest answer that is buffered whole before it is sent to the caller, in bytes.
const BUFFERED_BYTES_MAX: usize = 64 << 10;

/// Result of reading an answer.
pub(super) enum ReadAnswer {
    /// The whole answer, ready to be sent to the caller, and what ended its body.
    Whole(Response<AnswerBody>, BodyFraming),
    /// An answer that is relayed as it arrives, and what has been read of its body already.
    Stream(Box<Answered>, Bytes),
    /// A whole server error of a request that may run again, and what ended its body.
    Failed(Response<AnswerBody>, BodyFraming),
    /// The answer broke off; with the reason.
    Lost(LossReason),
}

impl Serving {
    /// Reads a short answer whole; returns streams and long answers to be relayed.
    ///
    pub(super) async fn read_answer(&self, mut answered: Box<Answered>) -> ReadAnswer {
        let is_stream = is_event_stream(&self.work.route, &answered.parts);
        let length_min = answered.body.size_hint().lower();
        if is_stream || length_min > BUFFERED_BYTES_MAX as u64 {
            return ReadAnswer::Stream(answered, Bytes::new());
        }
        let framing = BodyFraming::of(&answered.parts.headers);
        let limit = Duration::from_millis(self.work.left_ms(self.gateway.now_ms()));
        let read = read_short(&mut answered.body, BUFFERED_BYTES_MAX);
        let body = match tokio::time::timeout(limit, read).await {
            Ok(Ok(ShortBody::Whole(body))) if self.is_whole(&answered.parts, framing, &body) => {
                body
            }
            Ok(Ok(ShortBody::Beginning(read))) => return ReadAnswer::Stream(answered, read),
            Ok(Ok(ShortBody::Whole(_)) | Err(_)) => {
                answered.reservation.outcome(false);
                return ReadAnswer::Lost(LossReason::AnswerBroke);
            }
            Err(_elapsed) => {
                answered.reservation.outcome(false);
                return ReadAnswer::Lost(LossReason::SlowAnswer);
            }
        };
        let Answered {
            parts,
            head,
            connection,
            reservation,
            ..
        } = *answered;
        attempt::recycle(&self.gateway, &head, connection, &reservation);
        let is_failure = parts.status.is_server_error();
        reservation.outcome(!is_failure);
        let may_repeat = self.work.route.kind.is_repeatable()
            && self.runs + 1 < self.work.route.endpoints_per_attempt_max;
        let mut response = Response::new(buffered(body));
        *response.status_mut() = parts.status;
        *response.headers_mut() = endpoint_answer::forwarded_headers(&parts.headers);
        response.headers_mut().remove(CONTENT_LENGTH);
        if is_failure && may_repeat {
            return ReadAnswer::Failed(response, framing);
        }
        ReadAnswer::Whole(response, framing)
    }

    /// Returns whether a body that was read to its end can be the whole answer.
    fn is_whole(&self, answer: &Parts, framing: BodyFraming, body: &[u8]) -> bool {
        !consists_of_events(&self.work.route, answer)
            || is_whole_stream(body, framing.is_end_marked())
    }
}
