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
    Attempt(AttemptStream),
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
        if let Some(first) = self.first.take() {
            return first;
        }
        let Source::Attempt(stream) = &mut self.source else {
            let detail = "a recorded answer is not streamed";
            return Payload::Refused(Refusal::may_have_run(RefusalCode::Internal, detail));
        };
        match stream.next().await {
            Ok(payload) => payload,
            Err(failure) => Payload::Refused(self.conversation.end(failure)),
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
        let mut answer = WholeAnswer::empty();
        let mut body = Vec::new();
        loop {
            let stream = match &mut self.source {
                Source::Attempt(stream) => stream,
                Source::Recorded(recorded) => return Ok(recorded.clone()),
            };
            let payload = match self.first.take() {
                Some(first) => Ok(first),
                None => stream.next().await,
            };
            let collected = payload.and_then(|payload| collect(&mut answer, &mut body, payload));
            match collected {
                Ok(false) => {}
                Ok(true) => {
                    answer.body = Bytes::from(body);
                    return Ok(answer);
                }
                Err(failure) => {
                    answer = WholeAnswer::empty();
                    body.clear();
                    let (source, first) = self.conversation.reopen(failure).await?;
                    self.source = source;
                    self.first = first;
                }
            }
        }
    }
}

/// Adds a payload to an answer and returns whether it is whole.
fn collect(
    answer: &mut WholeAnswer,
    body: &mut Vec<u8>,
    payload: Payload,
) -> Result<bool, AttemptFailure> {
    match payload {
        Payload::Token(token) => body.extend_from_slice(token.as_bytes()),
        Payload::Head {
            status,
            content_type,
        } => {
            answer.status = status;
            answer.content_type = content_type;
        }
        Payload::Body(text) => {
            let bytes = STANDARD.decode(text.as_bytes()).map_err(|error| {
                let detail = format!("answer: {error}");
                AttemptFailure::lost(Refusal::may_have_run(RefusalCode::ResultUnknown, detail))
            })?;
            body.extend(bytes);
        }
        Payload::End(summary) => {
            answer.summary = summary;
            return Ok(true);
        }
        Payload::Refused(refusal) => return Err(AttemptFailure::refused(refusal)),
        Payload::Heartbeat => {}
    }
    Ok(false)
}
