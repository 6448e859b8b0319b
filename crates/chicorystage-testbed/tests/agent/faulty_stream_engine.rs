//! A wrapper around the fake engine that corrupts cut and resumed streams.

use chicorystage_borders::engine::{
    CacheEvent, CompletionStart, Engine, EngineEvent, EngineStatus, EngineStream, LoadReport, Order,
};
use chicorystage_borders::{BorderError, BoxFuture};
use chicorystage_testbed::fakes::FakeEngine;
use tokio::sync::mpsc;

/// Capacity of a stream's channel, in events.
const EVENTS_BUFFERED: usize = 64;

/// An engine with a fault in the streams that are cut or resumed.
#[derive(Clone, Debug)]
pub struct FaultyStreamEngine {
    pub engine: FakeEngine,
    pub fault: StreamFault,
}

/// The fault of an engine's streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// A cut stream stays open without further events.
    Silent,
    /// A resumed stream returns a token of another answer.
    Foreign,
    /// A resumed stream begins [`SHIFT_TOKENS`] before the requested offset.
    Early,
    /// A resumed stream begins [`SHIFT_TOKENS`] after the requested offset.
    Late,
}

/// Tokens by which a resumed stream begins too early or too late.
///
/// The answer repeats the prompt, so the shift must not be a multiple of the prompt's
/// number of words: shifted tokens would equal the expected ones.
const SHIFT_TOKENS: u64 = 3;

impl FaultyStreamEngine {
    fn forward(&self, mut events: EngineStream) -> EngineStream {
        let (sender, receiver) = mpsc::channel(EVENTS_BUFFERED);
        let silent = self.fault == StreamFault::Silent;
        tokio::spawn(async move {
            while let Some(event) = events.recv().await {
                if sender.send(event).await.is_err() {
                    return;
                }
            }
            if silent {
                sender.closed().await;
            }
        });
        receiver
    }
}

impl Engine for FaultyStreamEngine {
    fn status(&self) -> BoxFuture<'_, Result<EngineStatus, BorderError>> {
        self.engine.status()
    }

    fn order(&self, order: Order) -> BoxFuture<'_, Result<(), BorderError>> {
        self.engine.order(order)
    }

    fn start(&self, start: CompletionStart) -> BoxFuture<'_, Result<EngineStream, BorderError>> {
        Box::pin(async move {
            let events = self.engine.start(start).await?;
            Ok(self.forward(events))
        })
    }

    fn resume<'a>(
        &'a self,
        stream_id: &'a str,
        offset_tokens: u64,
    ) -> BoxFuture<'a, Result<EngineStream, BorderError>> {
        Box::pin(async move {
            match self.fault {
                StreamFault::Silent | StreamFault::Foreign => {}
                StreamFault::Early => {
                    let early = offset_tokens.saturating_sub(SHIFT_TOKENS);
                    return self.engine.resume(stream_id, early).await;
                }
                StreamFault::Late => {
                    let late = offset_tokens + SHIFT_TOKENS;
                    return self.engine.resume(stream_id, late).await;
                }
            }
            let (sender, receiver) = mpsc::channel(EVENTS_BUFFERED);
            let token = EngineEvent::Token {
                offset_tokens,
                text: "another".into(),
            };
            let _sent = sender.send(token).await;
            let tokens = offset_tokens + 1;
            let _sent = sender.send(EngineEvent::Done { tokens }).await;
            Ok(receiver)
        })
    }

    fn cancel<'a>(&'a self, stream_id: &'a str) -> BoxFuture<'a, Result<(), BorderError>> {
        self.engine.cancel(stream_id)
    }

    fn load_report(&self) -> BoxFuture<'_, Result<LoadReport, BorderError>> {
        self.engine.load_report()
    }

    fn cache_events(
        &self,
        after_sequence: u64,
    ) -> BoxFuture<'_, Result<Vec<CacheEvent>, BorderError>> {
        self.engine.cache_events(after_sequence)
    }
}
