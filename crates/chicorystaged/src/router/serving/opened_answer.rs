use chicorystage_api::name::RequestId;
use chicorystage_api::refusal::Refusal;
use chicorystage_api::work::Payload;
use tokio::time::Instant;

use crate::router::serving::WholeAnswer;
use crate::router::serving::attempt_stream::AttemptStream;
use crate::router::serving::idempotent_run::IdempotentRun;

/// An answer whose first content was received.
///
/// Dropping it before its last payload abandons the request.
#[derive(Debug)]
pub struct OpenedAnswer {
    run: IdempotentRun,
    stream: AttemptStream,
    first: Option<Payload>,
}

impl OpenedAnswer {
    pub(crate) fn new(run: IdempotentRun, stream: AttemptStream, first: Payload) -> Self {
        Self {
            run,
            stream,
            first: Some(first),
        }
    }

    /// Returns the id under which the request is traced.
    #[must_use]
    pub fn request_id(&self) -> &RequestId {
        self.run.request_id()
    }

    /// Returns the model with its version and adapter as resolved by the inventory.
    ///
    /// Empty for a service.
    #[must_use]
    pub fn model_name(&self) -> String {
        self.run.model_name()
    }

    /// Returns the caller's deadline, for tokio's timers.
    pub(crate) fn deadline(&self) -> Instant {
        self.run.deadline()
    }

    /// Returns the next payload of an answer that is streamed to the caller.
    ///
    /// `End` and `Refused` are the last. From the first call on, the answer is
    /// bound to its attempt: if the attempt is lost, the answer ends with
    /// `Refused` and is never continued from another attempt.
    pub async fn next(&mut self) -> Payload {
        let payload = match self.first.take() {
            Some(first) => Ok(first),
            None => self.stream.next().await,
        };
        match payload {
            Ok(payload) => {
                self.run.delivered(&payload);
                payload
            }
            Err(failure) => Payload::Refused(self.run.end(&failure)),
        }
    }

    /// Collects the complete answer.
    ///
    /// The caller receives nothing before the end, so an attempt that is lost
    /// halfway is replaced by another.
    ///
    /// # Errors
    ///
    /// Returns the final refusal if no attempt produced a complete answer.
    pub async fn whole(mut self) -> Result<WholeAnswer, Refusal> {
        loop {
            let run = &mut self.run;
            let first = self.first.take();
            let collected = WholeAnswer::collect(&mut self.stream, first, |payload| {
                run.delivered(payload);
            });
            match collected.await {
                Ok(answer) => return Ok(answer),
                Err(failure) => {
                    let (stream, first) = self.run.reopen(failure).await?;
                    self.stream = stream;
                    self.first = Some(first);
                }
            }
        }
    }
}
