//! Policy interface: which idle replicas stay loaded, and which are evicted first.

use std::cmp::Reverse;
use std::fmt;

use chicorystage_api::inventory::RuleItem;
use chicorystage_core::replicas::{IdleReplica, ReplicaKey};

/// Shortest and longest keep-alive of a model without a rule, in milliseconds.
pub const KEEP_ALIVE_DEFAULT_MS: (u64, u64) = (1_000, 60_000);

/// Limits and weights by which a policy decides how long to keep a model's replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeepAliveSettings {
    /// Shortest time an idle replica stays loaded, in milliseconds.
    pub keep_alive_min_ms: u64,
    /// Longest time an idle replica stays loaded, in milliseconds.
    pub keep_alive_max_ms: u64,
    /// Weight of cold starts against idle time, 0 to 100.
    pub cold_start_weight_percent: u32,
    /// Accelerator memory of the endpoint, in bytes.
    pub memory_total_bytes: u64,
}

impl KeepAliveSettings {
    /// Creates the values for a model; `rule` is the model's inventory rule, if it has one.
    #[must_use]
    pub fn new(
        rule: Option<&RuleItem>,
        cold_start_weight_percent: u32,
        memory_total_bytes: u64,
    ) -> Self {
        let (min_ms, max_ms) = KEEP_ALIVE_DEFAULT_MS;
        Self {
            keep_alive_min_ms: rule.map_or(min_ms, |rule| rule.keep_alive_min_ms),
            keep_alive_max_ms: rule.map_or(max_ms, |rule| rule.keep_alive_max_ms),
            cold_start_weight_percent,
            memory_total_bytes,
        }
    }
}

/// Decides when idle replicas are unloaded, prewarmed and evicted.
pub trait ReplicaPolicy: fmt::Debug + Send {
    /// Records that an attempt for a replica arrived.
    fn record_arrival(&mut self, key: &ReplicaKey, now_ms: u64);

    /// Records the duration of a successful load, in milliseconds.
    fn record_load(&mut self, key: &ReplicaKey, took_ms: u64);

    /// Returns whether an idle replica may be unloaded now.
    fn may_unload(
        &mut self,
        replica: &IdleReplica,
        settings: &KeepAliveSettings,
        now_ms: u64,
    ) -> bool;

    /// Returns the time left in the prewarming window of a replica that is not loaded, in
    /// milliseconds.
    ///
    /// The window covers the time in which the next request is expected and the load before
    /// it. `None` if the replica should not be prewarmed now.
    fn prewarm_time_left_ms(
        &mut self,
        key: &ReplicaKey,
        memory_bytes: u64,
        settings: &KeepAliveSettings,
        now_ms: u64,
    ) -> Option<u64>;

    /// Sorts idle replicas into eviction order, first to evict first.
    fn sort_for_eviction(&self, idle: &mut [IdleReplica], now_ms: u64);
}

/// Keeps idle replicas for the maximum keep-alive, evicts the longest idle first, never prewarms.
#[derive(Clone, Copy, Debug, Default)]
pub struct FixedKeepAlive;

impl ReplicaPolicy for FixedKeepAlive {
    fn record_arrival(&mut self, _key: &ReplicaKey, _now_ms: u64) {}

    fn record_load(&mut self, _key: &ReplicaKey, _took_ms: u64) {}

    fn may_unload(
        &mut self,
        replica: &IdleReplica,
        settings: &KeepAliveSettings,
        _now_ms: u64,
    ) -> bool {
        replica.idle_ms >= settings.keep_alive_max_ms
    }

    fn prewarm_time_left_ms(
        &mut self,
        _key: &ReplicaKey,
        _memory_bytes: u64,
        _settings: &KeepAliveSettings,
        _now_ms: u64,
    ) -> Option<u64> {
        None
    }

    fn sort_for_eviction(&self, idle: &mut [IdleReplica], _now_ms: u64) {
        idle.sort_by_key(|replica| Reverse(replica.idle_ms));
    }
}
