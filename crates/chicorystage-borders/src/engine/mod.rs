//! A model engine that runs beside an agent.
//!
//! An engine runs completions in batches and streams their tokens; a stream
//! can be resumed at a token offset. An *order* is a command to load or unload
//! a replica or an adapter. Each order carries a fencing token. Some engines
//! refuse an order whose token is below the highest that they have received,
//! others ignore the token. The response to an order is sent once the order
//! has taken effect. If no response arrives, the outcome is unknown until
//! [`Engine::status`] shows it.

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

/// Receiver of a completion's events.
///
/// Dropping it doesn't cancel the completion, which can be resumed.
pub type EngineStream = mpsc::Receiver<EngineEvent>;

/// Client interface of a model engine.
pub trait Engine: Send + Sync {
    /// Returns the replicas, the cached weights and the memory of the engine.
    fn status(&self) -> BoxFuture<'_, Result<EngineStatus, BorderError>>;

    /// Sends a load or unload order and waits until it has taken effect.
    fn order(&self, order: Order) -> BoxFuture<'_, Result<(), BorderError>>;

    /// Starts a completion and returns its events.
    fn start(&self, start: CompletionStart) -> BoxFuture<'_, Result<EngineStream, BorderError>>;

    /// Reopens the stream of a running or finished completion at a token offset.
    fn resume<'a>(
        &'a self,
        stream_id: &'a str,
        offset_tokens: u64,
    ) -> BoxFuture<'a, Result<EngineStream, BorderError>>;

    /// Cancels a completion.
    fn cancel<'a>(&'a self, stream_id: &'a str) -> BoxFuture<'a, Result<(), BorderError>>;

    /// Returns the engine's load, which may be out of date.
    fn load_report(&self) -> BoxFuture<'_, Result<LoadReport, BorderError>>;

    /// Returns the cache events after a sequence number.
    ///
    /// Events may arrive late, and some may be missing.
    fn cache_events(
        &self,
        after_sequence: u64,
    ) -> BoxFuture<'_, Result<Vec<CacheEvent>, BorderError>>;
}
