//! Replicas of one endpoint: loads, unloads and adapters.
//!
//! Every order has a number. While one is in flight for a replica or adapter
//! no second one is given for it, so however many requests wait for a model,
//! one load runs. An order ends with what is known of its effect: done, no
//! effect, or unknown; an unknown one leaves its memory reserved until a
//! status of the engine, asked for once the order can no longer take effect,
//! settles it.
//!
//! A status is compared only with what had not changed since it was asked for.

mod adapter;
mod begin_error;
mod idle;
mod idle_replica;
mod observed;
mod order_end;
mod part;
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
