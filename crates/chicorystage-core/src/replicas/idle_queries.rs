//! Queries for idle replicas and adapters, and accounting of idle time and memory.

use std::collections::BTreeMap;

use chicorystage_api::name::{AdapterName, ModelName};
use chicorystage_api::peer::ReplicaState;

use crate::ledger::ReservationOwner;
use crate::replicas::{IdleReplica, ReplicaKey, Replicas};

impl Replicas {
    /// Returns the loaded replicas without running attempts and without adapter orders, ordered
    /// by key.
    #[must_use]
    pub fn idle(&self, now_ms: u64) -> Vec<IdleReplica> {
        let idle = self.by_key.iter().filter(|(_, replica)| {
            replica.state() == ReplicaState::Loaded
                && replica.in_use == 0
                && !replica.has_adapter_order()
        });
        idle.map(|(key, replica)| IdleReplica {
            key: key.clone(),
            memory_bytes: replica.memory_bytes,
            idle_ms: replica.idle_ms(now_ms),
        })
        .collect()
    }

    /// Returns the loaded adapters without running attempts, longest idle first.
    #[must_use]
    pub fn idle_adapters(&self) -> Vec<(ReplicaKey, AdapterName)> {
        let mut idle: Vec<_> = self
            .by_key
            .iter()
            .filter(|(_, replica)| replica.state() == ReplicaState::Loaded)
            .flat_map(|(key, replica)| {
                replica
                    .adapters
                    .iter()
                    .map(move |(name, adapter)| (key, name, adapter))
            })
            .filter(|(_, _, adapter)| adapter.state() == ReplicaState::Loaded)
            .filter(|(_, _, adapter)| adapter.in_use == 0)
            .collect();
        idle.sort_by_key(|(_, _, adapter)| adapter.idle_since_ms);
        idle.into_iter()
            .map(|(key, name, _)| (key.clone(), name.clone()))
            .collect()
    }

    /// Returns the total time for which replicas of each model were loaded and idle, in
    /// milliseconds.
    #[must_use]
    pub fn idle_total_ms(&self, now_ms: u64) -> BTreeMap<ModelName, u64> {
        let mut totals = self.idle_total_ms.clone();
        for (key, replica) in &self.by_key {
            let idle_ms = replica.idle_ms(now_ms);
            if idle_ms > 0 {
                *totals.entry(key.model.clone()).or_default() += idle_ms;
            }
        }
        totals
    }

    /// Returns the memory that unload orders in flight will free, in bytes.
    #[must_use]
    pub fn unloading_bytes(&self) -> u64 {
        let parts = self.by_key.iter().map(|(key, replica)| {
            if replica.state() == ReplicaState::Unloading {
                let adapters = replica.adapters.keys();
                let adapters = adapters.map(|name| ReservationOwner::adapter(key, name));
                let all = adapters.chain([ReservationOwner::replica(key)]);
                return all
                    .map(|owner| self.ledger.bytes_reserved_for(&owner))
                    .sum();
            }
            let adapters = replica.adapters.iter();
            adapters
                .filter(|(_, adapter)| adapter.state() == ReplicaState::Unloading)
                .map(|(name, _)| {
                    self.ledger
                        .bytes_reserved_for(&ReservationOwner::adapter(key, name))
                })
                .sum::<u64>()
        });
        parts.sum()
    }

    /// Returns the number of adapters whose load is in flight or whose last order is unresolved.
    #[must_use]
    pub fn adapter_loads(&self) -> usize {
        let adapters = self
            .by_key
            .values()
            .flat_map(|replica| replica.adapters.values());
        adapters
            .filter(|adapter| {
                matches!(
                    adapter.state(),
                    ReplicaState::Loading | ReplicaState::Unsettled
                )
            })
            .count()
    }
}
