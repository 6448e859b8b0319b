use std::collections::BTreeMap;

use chicorystage_core::replicas::{ObservedAdapter, ObservedReplica, ObservedState, ReplicaKey};

/// Longest time that an order is in flight, in milliseconds.
pub const IN_FLIGHT_MAX_MS: u64 = 200;

#[derive(Clone, Debug)]
pub enum OrderKind {
    Fence,
    Load(ReplicaKey, u64),
    Unload(ReplicaKey),
    LoadAdapter(ReplicaKey, u64),
}

#[derive(Clone, Debug)]
pub struct SentOrder {
    pub order: u64,
    pub incarnation: u64,
    pub fence: u64,
    pub arrives_ms: u64,
    pub kind: OrderKind,
}

/// A simulated engine that executes every order and checks nothing but the fencing token.
#[derive(Debug)]
pub struct Engine {
    pub run: u64,
    pub fence_highest: u64,
    pub fence_enforced: bool,
    pub total_bytes: u64,
    /// State and memory in bytes of each replica, and the memory of its adapter, if loaded.
    pub replicas: BTreeMap<ReplicaKey, (ObservedState, u64, Option<u64>)>,
    pub in_flight: Vec<SentOrder>,
}

impl Engine {
    pub fn used_bytes(&self) -> u64 {
        self.replicas
            .values()
            .map(|(_, bytes, adapter)| bytes + adapter.unwrap_or(0))
            .sum()
    }

    /// Executes the orders that arrived by `now_ms`; returns each with whether it was accepted.
    pub fn execute_arrived(&mut self, now_ms: u64) -> Vec<(SentOrder, bool)> {
        let (arrived, pending) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|sent| sent.arrives_ms <= now_ms);
        self.in_flight = pending;
        let arrived: Vec<SentOrder> = arrived;
        let results = arrived.into_iter().map(|sent| {
            let accepted = self.execute(&sent);
            (sent, accepted)
        });
        results.collect()
    }

    fn execute(&mut self, sent: &SentOrder) -> bool {
        if self.fence_enforced && sent.fence < self.fence_highest {
            return false;
        }
        self.fence_highest = self.fence_highest.max(sent.fence);
        match &sent.kind {
            OrderKind::Fence => true,
            OrderKind::Load(key, bytes) => {
                if self.replicas.contains_key(key) {
                    return false;
                }
                let loading = (ObservedState::Loading, *bytes, None);
                self.replicas.insert(key.clone(), loading);
                true
            }
            OrderKind::Unload(key) => {
                self.replicas.remove(key);
                true
            }
            OrderKind::LoadAdapter(key, bytes) => match self.replicas.get_mut(key) {
                Some((ObservedState::Loaded, _, adapter)) => {
                    *adapter = Some(*bytes);
                    true
                }
                _ => false,
            },
        }
    }

    pub fn finish_loads(&mut self) {
        for (state, _, _) in self.replicas.values_mut() {
            *state = ObservedState::Loaded;
        }
    }

    pub fn restart(&mut self) {
        self.run += 1;
        self.fence_highest = 0;
        self.replicas.clear();
    }

    pub fn observed(&self) -> Vec<ObservedReplica> {
        let observed = self.replicas.iter().map(|(key, (state, bytes, adapter))| {
            let adapters = adapter.iter().map(|bytes| ObservedAdapter {
                name: "tone".into(),
                memory_bytes: *bytes,
            });
            ObservedReplica {
                key: key.clone(),
                state: *state,
                memory_bytes: *bytes,
                adapters: adapters.collect(),
            }
        });
        observed.collect()
    }
}
