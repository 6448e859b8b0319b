//! Reads one completion from the engine, over more than one connection if need be.

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

/// Silence of a stream after which it is reopened on a fresh connection, in milliseconds.
const STREAM_SILENCE_MAX_MS: u64 = 3_000;
/// Tries to reopen a stream that was cut.
const REOPEN_TRIES_MAX: u32 = 4;
/// Connections in a row that may end without a token.
const CUTS_IN_A_ROW_MAX: u32 = 3;
/// Delay between two tries, in milliseconds.
const REOPEN_RETRY_MS: u64 = 100;

/// One completion on the engine.
pub(crate) struct CompletionTask {
    pub(crate) engine: Arc<dyn Engine>,
    pub(crate) handle: AgentHandle,
    pub(crate) attempt: AttemptRef,
    pub(crate) start: CompletionStart,
    /// Run of the engine in which the completion starts.
    pub(crate) engine_run: u64,
    pub(crate) queued_ms: u64,
    pub(crate) cold_start_ms: u64,
}

/// What one connection of a stream ended with.
enum Ended {
    Finished(Payload),
    /// The connection ended or left tokens out; the stream may live on.
    Cut,
    /// Nothing came for a while; the connection may be dead.
    Silent,
}

impl CompletionTask {
    /// Runs until the answer is whole, lost or no longer wanted.
    pub(crate) async fn run(self, mut wanted: oneshot::Receiver<()>) {
        tokio::select! {
            // The loop drops its end where the attempt was given up.
            _given_up = &mut wanted => {}
            () = self.read() => {}
        }
    }

    async fn read(&self) {
        let mut offset_tokens = 0;
        let mut stream = match self.engine.start(self.start.clone()).await {
            Ok(stream) => stream,
            Err(error) if error.had_no_effect() => {
                return self.output(Payload::Refused(not_started(&error))).await;
            }
            Err(_unknown) => match self.reopen(offset_tokens).await {
                Ok(stream) => stream,
                Err(refusal) => return self.output(Payload::Refused(refusal)).await,
            },
        };
        let mut cuts = 0;
        loop {
            let first_token = offset_tokens;
            match self.read_connection(&mut stream, &mut offset_tokens).await {
                Ended::Finished(payload) => return self.output(payload).await,
                Ended::Cut if offset_tokens == first_token => cuts += 1,
                Ended::Cut | Ended::Silent => cuts = 0,
            }
            if cuts > CUTS_IN_A_ROW_MAX {
                let refusal = lost("the engine's stream does not go on");
                return self.output(Payload::Refused(refusal)).await;
            }
            stream = match self.reopen(offset_tokens).await {
                Ok(stream) => stream,
                Err(refusal) => return self.output(Payload::Refused(refusal)).await,
            };
        }
    }

    async fn read_connection(&self, stream: &mut EngineStream, offset_tokens: &mut u64) -> Ended {
        let silence_max = Duration::from_millis(STREAM_SILENCE_MAX_MS);
        loop {
            let event = match timeout(silence_max, stream.recv()).await {
                Ok(Some(event)) => event,
                Ok(None) => return Ended::Cut,
                Err(_elapsed) => return Ended::Silent,
            };
            match event {
                EngineEvent::Token {
                    offset_tokens: token,
                    text,
                } if token == *offset_tokens => {
                    *offset_tokens += 1;
                    self.output(Payload::Token(text)).await;
                }
                // A token that was delivered before the connection was reopened.
                EngineEvent::Token {
                    offset_tokens: token,
                    ..
                } if token < *offset_tokens => {}
                EngineEvent::Done { tokens } if tokens == *offset_tokens => {
                    return Ended::Finished(Payload::End(self.summary(tokens)));
                }
                // A gap: tokens are missing before this event.
                EngineEvent::Token { .. } | EngineEvent::Done { .. } => return Ended::Cut,
                EngineEvent::Failed { detail } => {
                    return Ended::Finished(Payload::Refused(lost(detail)));
                }
            }
        }
    }

    /// Reopens the stream where the engine that ran it still has it.
    async fn reopen(&self, offset_tokens: u64) -> Result<EngineStream, Refusal> {
        for _ in 0..REOPEN_TRIES_MAX {
            match self.try_reopen(offset_tokens).await {
                Ok(stream) => return Ok(stream),
                Err(error) if error.kind() == BorderErrorKind::Rejected => {
                    return Err(lost(error.to_string()));
                }
                Err(_unreachable) => sleep(Duration::from_millis(REOPEN_RETRY_MS)).await,
            }
        }
        Err(lost("the engine does not answer"))
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
        // Where the loop has ended nobody waits for the output.
        self.handle
            .tell(AgentEvent::Output { attempt, payload })
            .await;
    }
}

fn not_started(error: &BorderError) -> Refusal {
    Refusal::not_run(RefusalCode::NoEndpoint, error.to_string())
}

fn lost(detail: impl Into<Arc<str>>) -> Refusal {
    Refusal::may_have_run(RefusalCode::EndpointLost, detail)
}
