//! Which idle replicas stay loaded, and which go first when memory is needed.

use std::cmp::Reverse;
use std::fmt;

use chicorystage_api::inventory::RuleItem;
use chicorystage_core::replicas::{IdleReplica, ReplicaKey};

/// Time an idle replica stays loaded where no rule says otherwise, in milliseconds.
const KEEP_ALIVE_DEFAULT_MS: u64 = 60_000;

/// Decides about idle replicas.
pub trait ReplicaPolicy: fmt::Debug + Send {
    /// Notes that an attempt for a replica arrived.
    fn arrived(&mut self, key: &ReplicaKey, now_ms: u64);

    /// Returns whether an idle replica may be unloaded now.
    fn may_unload(&self, replica: &IdleReplica, rule: Option<&RuleItem>, now_ms: u64) -> bool;

    /// Sorts idle replicas so that the first is unloaded first when memory is needed.
    fn sort_for_eviction(&self, idle: &mut [IdleReplica], now_ms: u64);
}

/// Keeps every replica for a fixed time and evicts the longest idle first.
#[derive(Clone, Copy, Debug, Default)]
pub struct FixedKeepAlive;

impl ReplicaPolicy for FixedKeepAlive {
    fn arrived(&mut self, _key: &ReplicaKey, _now_ms: u64) {}

    fn may_unload(&self, replica: &IdleReplica, rule: Option<&RuleItem>, _now_ms: u64) -> bool {
        let keep_alive_ms = rule.map_or(KEEP_ALIVE_DEFAULT_MS, |rule| rule.keep_alive_max_ms);
        replica.idle_ms >= keep_alive_ms
    }

    fn sort_for_eviction(&self, idle: &mut [IdleReplica], _now_ms: u64) {
        idle.sort_by_key(|replica| Reverse(replica.idle_ms));
    }
}
