//! Reads one completion from the engine, over several connections if necessary.
//!
//! A stream that is cut or silent is resumed on a new connection at the next
//! missing token, as long as the same run of the engine still has it. If it
//! cannot be resumed, the attempt is refused as one that may have run. An
//! attempt whose start certainly had no effect is refused as not run.

use std::sync::Arc;
use std::time::Duration;

use chicorystage_api::peer::AttemptRef;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_api::work::{EndSummary, Payload};
use chicorystage_borders::engine::{CompletionStart, Engine, EngineEvent, EngineStream};
use chicorystage_borders::{BorderError, BorderErrorKind};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use crate::agent::event::AgentEvent;
use crate::agent::handle::AgentHandle;

/// Maximum silence of a stream before it is resumed on a new connection, in milliseconds.
const STREAM_SILENCE_MAX_MS: u64 = 3_000;
/// Maximum number of tries to resume a stream.
const REOPEN_TRIES_MAX: u32 = 4;
/// Maximum number of consecutive connections that are cut without a new token.
const FRUITLESS_CONNECTIONS_MAX: u32 = 3;
/// Delay between two tries to resume a stream, in milliseconds.
const REOPEN_RETRY_MS: u64 = 100;

/// Starts one completion on the engine and passes its tokens to the main loop.
pub(crate) struct CompletionTask {
    pub(crate) engine: Arc<dyn Engine>,
    pub(crate) handle: AgentHandle,
    pub(crate) attempt: AttemptRef,
    pub(crate) start: CompletionStart,
    /// Identity of the engine run in which the completion starts.
    pub(crate) engine_run: u64,
    pub(crate) queued_ms: u64,
    pub(crate) cold_start_ms: u64,
}

/// How one connection of a stream ended.
enum ConnectionEnd {
    Finished(Payload),
    /// The connection ended early or skipped tokens; the engine may still have the stream.
    Cut,
    /// No event arrived for [`STREAM_SILENCE_MAX_MS`]; the connection may be dead.
    Silent,
}

impl CompletionTask {
    /// Runs until the completion has ended, is lost or is cancelled.
    pub(crate) async fn run(self, mut cancelled: oneshot::Receiver<()>) {
        tokio::select! {
            // The main loop drops the sender when the attempt ends early.
            _dropped = &mut cancelled => {}
            () = self.read() => {}
        }
    }

    async fn read(&self) {
        let mut offset_tokens = 0;
        let mut stream = match self.engine.start(self.start.clone()).await {
            Ok(stream) => stream,
            Err(error) if error.had_no_effect() => {
                return self.output(Payload::Refused(not_run_refusal(&error))).await;
            }
            Err(_unknown) => match self.reopen(offset_tokens).await {
                Ok(stream) => stream,
                Err(refusal) => return self.output(Payload::Refused(refusal)).await,
            },
        };
        let mut fruitless_connections = 0;
        loop {
            let offset_before = offset_tokens;
            match self.read_connection(&mut stream, &mut offset_tokens).await {
                ConnectionEnd::Finished(payload) => return self.output(payload).await,
                ConnectionEnd::Cut if offset_tokens == offset_before => fruitless_connections += 1,
                ConnectionEnd::Cut | ConnectionEnd::Silent => fruitless_connections = 0,
            }
            if fruitless_connections > FRUITLESS_CONNECTIONS_MAX {
                let refusal = stream_lost_refusal("the engine's stream does not go on");
                return self.output(Payload::Refused(refusal)).await;
            }
            stream = match self.reopen(offset_tokens).await {
                Ok(stream) => stream,
                Err(refusal) => return self.output(Payload::Refused(refusal)).await,
            };
        }
    }

    async fn read_connection(
        &self,
        stream: &mut EngineStream,
        offset_tokens: &mut u64,
    ) -> ConnectionEnd {
        let silence_max = Duration::from_millis(STREAM_SILENCE_MAX_MS);
        loop {
            let event = match timeout(silence_max, stream.recv()).await {
                Ok(Some(event)) => event,
                Ok(None) => return ConnectionEnd::Cut,
                Err(_elapsed) => return ConnectionEnd::Silent,
            };
            match event {
                EngineEvent::Token {
                    offset_tokens: token,
                    text,
                } if token == *offset_tokens => {
                    *offset_tokens += 1;
                    self.output(Payload::Token(text)).await;
                }
                // A duplicate of a token that an earlier connection delivered.
                EngineEvent::Token {
                    offset_tokens: token,
                    ..
                } if token < *offset_tokens => {}
                EngineEvent::Done { tokens } if tokens == *offset_tokens => {
                    return ConnectionEnd::Finished(Payload::End(self.summary(tokens)));
                }
                // Tokens are missing before this event.
                EngineEvent::Token { .. } | EngineEvent::Done { .. } => return ConnectionEnd::Cut,
                EngineEvent::Failed { detail } => {
                    return ConnectionEnd::Finished(Payload::Refused(stream_lost_refusal(detail)));
                }
            }
        }
    }

    /// Resumes the stream on a new connection at the next missing token.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the engine restarted, no longer has the stream or does
    /// not answer.
    async fn reopen(&self, offset_tokens: u64) -> Result<EngineStream, Refusal> {
        for _ in 0..REOPEN_TRIES_MAX {
            match self.try_reopen(offset_tokens).await {
                Ok(stream) => return Ok(stream),
                Err(error) if error.kind() == BorderErrorKind::Rejected => {
                    return Err(stream_lost_refusal(error.to_string()));
                }
                Err(_unreachable) => sleep(Duration::from_millis(REOPEN_RETRY_MS)).await,
            }
        }
        Err(stream_lost_refusal("the engine does not answer"))
    }

    async fn try_reopen(&self, offset_tokens: u64) -> Result<EngineStream, BorderError> {
        let status = self.engine.status().await?;
        if status.engine_run != self.engine_run {
            let detail = "the engine restarted";
            return Err(BorderError::new(BorderErrorKind::Rejected, detail));
        }
        self.engine
            .resume(&self.start.stream_id, offset_tokens)
            .await
    }

    fn summary(&self, tokens: u64) -> EndSummary {
        EndSummary {
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            queued_ms: self.queued_ms,
            cold_start_ms: self.cold_start_ms,
        }
    }

    async fn output(&self, payload: Payload) {
        let attempt = self.attempt.clone();
        // Sending fails if the loop has ended; then nothing waits for the output.
        self.handle
            .send(AgentEvent::Output { attempt, payload })
            .await;
    }
}

fn not_run_refusal(error: &BorderError) -> Refusal {
    Refusal::not_run(RefusalCode::NoEndpoint, error.to_string())
}

fn stream_lost_refusal(detail: impl Into<Arc<str>>) -> Refusal {
    Refusal::may_have_run(RefusalCode::EndpointLost, detail)
}
