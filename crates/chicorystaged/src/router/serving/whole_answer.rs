use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use chicorystage_api::peer::ClaimOutcome;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_api::work::{EndSummary, Payload};

use crate::router::serving::attempt_failure::AttemptFailure;
use crate::router::serving::attempt_stream::AttemptStream;

/// HTTP status of an answer without a status of its own.
const STATUS_OK: u16 = 200;

/// A complete answer, collected up to its end marker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeAnswer {
    /// HTTP status of a service's answer; 200 for a completion.
    pub status: u16,
    /// `Content-Type` of a service's answer; empty for a completion.
    pub content_type: Arc<str>,
    /// Generated text, or the body of a service's answer.
    pub body: Bytes,
    /// Token counts and times of the attempt; defaults if replayed from a claim.
    pub summary: EndSummary,
}

impl WholeAnswer {
    /// Collects the answer of one attempt.
    ///
    /// `first` is the payload already taken from the stream, if any.
    /// `on_payload` is called for every payload, `first` included.
    pub(super) async fn collect(
        stream: &mut AttemptStream,
        mut first: Option<Payload>,
        mut on_payload: impl FnMut(&Payload),
    ) -> Result<Self, AttemptFailure> {
        let mut answer = Self::empty();
        let mut body = Vec::new();
        loop {
            let payload = match first.take() {
                Some(first) => first,
                None => stream.next().await?,
            };
            on_payload(&payload);
            match payload {
                Payload::Token(token) => body.extend_from_slice(token.as_bytes()),
                Payload::Head {
                    status,
                    content_type,
                } => {
                    answer.status = status;
                    answer.content_type = content_type;
                }
                Payload::Body(text) => body.extend(decode(&text)?),
                Payload::End(summary) => {
                    answer.summary = summary;
                    answer.body = Bytes::from(body);
                    return Ok(answer);
                }
                Payload::Refused(refusal) => return Err(AttemptFailure::refused(refusal)),
                Payload::Heartbeat => {}
            }
        }
    }

    /// Encodes the answer as the outcome of a claim.
    pub(super) fn to_outcome(&self) -> ClaimOutcome {
        ClaimOutcome::Answered {
            status: self.status,
            content_type: Arc::clone(&self.content_type),
            body_base64: STANDARD.encode(&self.body).into(),
        }
    }

    /// Decodes the answer recorded in a claim's outcome.
    ///
    /// `None` if the outcome is not an answer or its body is malformed.
    pub(super) fn from_outcome(outcome: ClaimOutcome) -> Option<Self> {
        let ClaimOutcome::Answered {
            status,
            content_type,
            body_base64,
        } = outcome
        else {
            return None;
        };
        Some(Self {
            status,
            content_type,
            body: STANDARD.decode(body_base64.as_bytes()).ok()?.into(),
            summary: EndSummary::default(),
        })
    }

    fn empty() -> Self {
        Self {
            status: STATUS_OK,
            content_type: Arc::from(""),
            body: Bytes::new(),
            summary: EndSummary::default(),
        }
    }
}

fn decode(text: &str) -> Result<Vec<u8>, AttemptFailure> {
    STANDARD.decode(text.as_bytes()).map_err(|error| {
        let detail = format!("answer: {error}");
        AttemptFailure::lost(Refusal::may_have_run(RefusalCode::ResultUnknown, detail))
    })
}
