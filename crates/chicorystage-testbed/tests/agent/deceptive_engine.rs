use chicorystage_borders::engine::{
    CacheEvent, CompletionStart, Engine, EngineEvent, EngineStatus, EngineStream, LoadReport, Order,
};
use chicorystage_borders::{BorderError, BoxFuture};
use chicorystage_testbed::fakes::FakeEngine;
use tokio::sync::mpsc;

/// Events buffered ahead of their reader.
const EVENTS_BUFFERED: usize = 64;

/// An engine whose streams go on in a strange way when they are cut or reopened.
#[derive(Clone, Debug)]
pub struct DeceptiveEngine {
    pub engine: FakeEngine,
    pub deceit: Deceit,
}

/// What is strange about an engine's streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deceit {
    /// A stream that is cut stays open and silent.
    Silent,
    /// A reopened stream gives the tokens of another.
    Foreign,
    /// A reopened stream begins some tokens before the offset.
    Early,
    /// A reopened stream begins some tokens after the offset.
    Late,
}

/// Tokens by which a stream is reopened too early or too late; no multiple of the
/// words of the prompt, which the answer repeats.
const SHIFT_TOKENS: u64 = 3;

impl DeceptiveEngine {
    fn pass_on(&self, mut events: EngineStream) -> EngineStream {
        let (sender, receiver) = mpsc::channel(EVENTS_BUFFERED);
        let silent = self.deceit == Deceit::Silent;
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

impl Engine for DeceptiveEngine {
    fn status(&self) -> BoxFuture<'_, Result<EngineStatus, BorderError>> {
        self.engine.status()
    }

    fn order(&self, order: Order) -> BoxFuture<'_, Result<(), BorderError>> {
        self.engine.order(order)
    }

    fn start(&self, start: CompletionStart) -> BoxFuture<'_, Result<EngineStream, BorderError>> {
        Box::pin(async move {
            let events = self.engine.start(start).await?;
            Ok(self.pass_on(events))
        })
    }

    fn resume<'a>(
        &'a self,
        stream_id: &'a str,
        offset_tokens: u64,
    ) -> BoxFuture<'a, Result<EngineStream, BorderError>> {
        Box::pin(async move {
            match self.deceit {
                Deceit::Silent | Deceit::Foreign => {}
                Deceit::Early => {
                    let early = offset_tokens.saturating_sub(SHIFT_TOKENS);
                    return self.engine.resume(stream_id, early).await;
                }
                Deceit::Late => {
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
