use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use chicorystage_api::name::RequestId;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_api::work::Payload;

use crate::router::serving::WholeAnswer;
use crate::router::serving::attempt_failure::AttemptFailure;
use crate::router::serving::attempt_stream::AttemptStream;
use crate::router::serving::conversation::Conversation;

/// An answer that has begun.
///
/// Dropping it before its last payload gives the request up.
#[derive(Debug)]
pub struct OpenedAnswer {
    conversation: Conversation,
    source: Source,
    first: Option<Payload>,
}

/// Where an answer comes from.
#[derive(Debug)]
pub(crate) enum Source {
    /// A running attempt.
    Attempt(Box<AttemptStream>),
    /// The record of an earlier request with the same key.
    Recorded(WholeAnswer),
}

impl OpenedAnswer {
    pub(crate) fn new(conversation: Conversation, source: Source, first: Option<Payload>) -> Self {
        Self {
            conversation,
            source,
            first,
        }
    }

    /// Returns the identity of the request.
    #[must_use]
    pub fn request_id(&self) -> &RequestId {
        self.conversation.request_id()
    }

    /// Returns the model with its version and adapter, as the inventory names it.
    #[must_use]
    pub fn model_name(&self) -> String {
        self.conversation.model_name()
    }

    /// Returns the next payload of an answer that is delivered as it comes.
    ///
    /// `End` and `Refused` are the last. From the first call on the answer is
    /// bound to its attempt: one that is lost ends as refused, never spliced.
    pub async fn next(&mut self) -> Payload {
        let payload = match self.first.take() {
            Some(first) => Ok(first),
            None => match &mut self.source {
                Source::Attempt(stream) => stream.next().await,
                Source::Recorded(_) => Err(not_streamed()),
            },
        };
        match payload {
            Ok(payload) => {
                self.conversation.delivered(&payload);
                payload
            }
            Err(failure) => Payload::Refused(self.conversation.end(failure).await),
        }
    }

    /// Collects the whole answer.
    ///
    /// Nothing is delivered before the end, so an attempt of idempotent work
    /// that is lost on the way is replaced by another.
    ///
    /// # Errors
    ///
    /// Returns the final refusal where no attempt gave a whole answer.
    pub async fn whole(mut self) -> Result<WholeAnswer, Refusal> {
        loop {
            let first = self.first.take();
            let collected = match &mut self.source {
                Source::Attempt(stream) => collect(&mut self.conversation, stream, first).await,
                Source::Recorded(recorded) => {
                    self.conversation.delivered(&Payload::End(recorded.summary));
                    return Ok(recorded.clone());
                }
            };
            match collected {
                Ok(answer) => {
                    self.conversation.settle(Ok(answer.clone())).await;
                    return Ok(answer);
                }
                Err(failure) => {
                    (self.source, self.first) = self.conversation.reopen(failure).await?;
                }
            }
        }
    }
}

/// Collects one attempt's answer from its first payload on.
async fn collect(
    conversation: &mut Conversation,
    stream: &mut AttemptStream,
    mut first: Option<Payload>,
) -> Result<WholeAnswer, AttemptFailure> {
    let mut answer = WholeAnswer::empty();
    let mut body = Vec::new();
    loop {
        let payload = match first.take() {
            Some(first) => first,
            None => stream.next().await?,
        };
        conversation.delivered(&payload);
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

fn decode(text: &str) -> Result<Vec<u8>, AttemptFailure> {
    STANDARD.decode(text.as_bytes()).map_err(|error| {
        let detail = format!("answer: {error}");
        AttemptFailure::lost(Refusal::may_have_run(RefusalCode::ResultUnknown, detail))
    })
}

fn not_streamed() -> AttemptFailure {
    let detail = "a recorded answer is not streamed";
    AttemptFailure::lost(Refusal::may_have_run(RefusalCode::Internal, detail))
}
