//! A model engine beside an agent.
//!
//! The engine batches requests, streams tokens that can be resumed at an
//! offset, and loads what it is ordered to. Orders carry a fencing number;
//! some engines refuse one below the highest they have seen, others ignore it.
//! An order answers when it has taken effect; an order whose answer never came
//! is settled by [`Engine::status`].

mod cache_event;
mod completion_start;
mod engine_event;
mod engine_status;
mod load_report;
mod order;

pub use cache_event::CacheEvent;
pub use completion_start::CompletionStart;
pub use engine_event::EngineEvent;
pub use engine_status::{
    CacheTier, CachedWeights, EngineReplica, EngineReplicaState, EngineStatus,
};
pub use load_report::LoadReport;
pub use order::{Order, OrderKind};

use tokio::sync::mpsc;

use crate::{BorderError, BoxFuture};

/// Stream of an engine's answer; dropping it cancels nothing, so that the
/// same stream can be resumed.
pub type EngineStream = mpsc::Receiver<EngineEvent>;

/// A model engine.
pub trait Engine: Send + Sync {
    /// Reads what is loaded, loading and cached.
    fn status(&self) -> BoxFuture<'_, Result<EngineStatus, BorderError>>;

    /// Gives an order and waits until it has taken effect.
    fn order(&self, order: Order) -> BoxFuture<'_, Result<(), BorderError>>;

    /// Starts a completion.
    fn start(&self, start: CompletionStart) -> BoxFuture<'_, Result<EngineStream, BorderError>>;

    /// Reopens a running or finished stream at a token offset.
    fn resume<'a>(
        &'a self,
        stream_id: &'a str,
        offset_tokens: u64,
    ) -> BoxFuture<'a, Result<EngineStream, BorderError>>;

    /// Stops a stream.
    fn cancel<'a>(&'a self, stream_id: &'a str) -> BoxFuture<'a, Result<(), BorderError>>;

    /// Reads the load report, which lags.
    fn load_report(&self) -> BoxFuture<'_, Result<LoadReport, BorderError>>;

    /// Reads cache events after a sequence number; late and with gaps.
    fn cache_events(
        &self,
        after_sequence: u64,
    ) -> BoxFuture<'_, Result<Vec<CacheEvent>, BorderError>>;
}
