//! Load state of the replicas and adapters on one endpoint.
//!
//! An agent sends orders, commands to load or unload a replica or an adapter, to its engine. An
//! order may be lost, or its answer may be, so the agent cannot always know what the engine has
//! in memory.
//!
//! Every order has a number. While one is in flight for a replica or adapter no second one is
//! sent for it, so only one load of a model runs however many requests wait for it (single
//! flight). An order ends with what is known of its effect: done, no effect, or unknown. After an
//! unknown effect the memory stays reserved. A later status of the engine resolves it, provided
//! that the status was requested when the order could no longer take effect.
//!
//! A status is compared only with state that has not changed since the status was requested.

mod adapter;
mod begin_error;
mod idle_queries;
mod idle_replica;
mod load_state;
mod observed;
mod order_end;
mod reconcile;
mod replica;
mod replica_key;
mod replica_use;
mod set;

pub use adapter::Adapter;
pub use begin_error::BeginError;
pub use idle_replica::IdleReplica;
pub use observed::{ObservedAdapter, ObservedReplica, ObservedState};
pub use order_end::{EndedOrder, OrderEnd};
pub use replica::Replica;
pub use replica_key::ReplicaKey;
pub use replica_use::ReplicaUse;
pub use set::Replicas;
