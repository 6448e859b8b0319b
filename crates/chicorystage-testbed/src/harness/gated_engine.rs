use chicorystage_borders::engine::{
    CacheEvent, CompletionStart, Engine, EngineStatus, EngineStream, LoadReport, Order,
};
use chicorystage_borders::{BorderError, BoxFuture};

use crate::fakes::FakeEngine;
use crate::harness::gate::VmGate;

/// A fake engine that is reached through the gate of its agent.
///
/// Calls wait while the agent's process is paused and never return once it is dead.
#[derive(Clone, Debug)]
pub(super) struct GatedEngine {
    pub(super) gate: VmGate,
    pub(super) engine: FakeEngine,
}

impl GatedEngine {
    /// Runs a call; waits for the process to run, both before it and after it.
    async fn through_gate<T>(&self, call: impl Future<Output = T>) -> T {
        self.gate.pass().await;
        let result = call.await;
        self.gate.pass().await;
        result
    }
}

impl Engine for GatedEngine {
    fn status(&self) -> BoxFuture<'_, Result<EngineStatus, BorderError>> {
        Box::pin(self.through_gate(self.engine.status()))
    }

    fn order(&self, order: Order) -> BoxFuture<'_, Result<(), BorderError>> {
        // The fake starts to execute an order (a load or unload command) as soon as its `order`
        // is called, before the future is polled. The gate must therefore be passed first.
        Box::pin(async move {
            self.gate.pass().await;
            self.through_gate(self.engine.order(order)).await
        })
    }

    fn start(&self, start: CompletionStart) -> BoxFuture<'_, Result<EngineStream, BorderError>> {
        Box::pin(self.through_gate(self.engine.start(start)))
    }

    fn resume<'a>(
        &'a self,
        stream_id: &'a str,
        offset_tokens: u64,
    ) -> BoxFuture<'a, Result<EngineStream, BorderError>> {
        Box::pin(self.through_gate(self.engine.resume(stream_id, offset_tokens)))
    }

    fn cancel<'a>(&'a self, stream_id: &'a str) -> BoxFuture<'a, Result<(), BorderError>> {
        Box::pin(self.through_gate(self.engine.cancel(stream_id)))
    }

    fn load_report(&self) -> BoxFuture<'_, Result<LoadReport, BorderError>> {
        Box::pin(self.through_gate(self.engine.load_report()))
    }

    fn cache_events(
        &self,
        after_sequence: u64,
    ) -> BoxFuture<'_, Result<Vec<CacheEvent>, BorderError>> {
        Box::pin(self.through_gate(self.engine.cache_events(after_sequence)))
    }
}
