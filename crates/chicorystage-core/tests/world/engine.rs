use std::collections::BTreeMap;

use chicorystage_core::replicas::{ObservedAdapter, ObservedReplica, ObservedState, ReplicaKey};

/// Longest time that an order is in flight, in milliseconds.
pub const IN_FLIGHT_MAX_MS: u64 = 200;

#[derive(Clone, Debug)]
pub enum Kind {
    Fence,
    Load(ReplicaKey, u64),
    Unload(ReplicaKey),
    LoadAdapter(ReplicaKey, u64),
}

#[derive(Clone, Debug)]
pub struct Sent {
    pub order: u64,
    pub incarnation: u64,
    pub fence: u64,
    pub arrives_ms: u64,
    pub kind: Kind,
}

/// A simulated engine that executes every order and checks nothing but the fencing token.
#[derive(Debug)]
pub struct Engine {
    pub run: u64,
    pub fence_highest: u64,
    pub fence_enforced: bool,
    pub total_bytes: u64,
    pub replicas: BTreeMap<ReplicaKey, (ObservedState, u64, Option<u64>)>,
    pub on_the_way: Vec<Sent>,
}

impl Engine {
    pub fn used_bytes(&self) -> u64 {
        self.replicas
            .values()
            .map(|(_, bytes, adapter)| bytes + adapter.unwrap_or(0))
            .sum()
    }

    /// Executes the orders that arrived by `now_ms`; returns each with whether it was accepted.
    pub fn arrive(&mut self, now_ms: u64) -> Vec<(Sent, bool)> {
        let (arrived, waiting) = std::mem::take(&mut self.on_the_way)
            .into_iter()
            .partition(|sent| sent.arrives_ms <= now_ms);
        self.on_the_way = waiting;
        let arrived: Vec<Sent> = arrived;
        let carried_out = arrived.into_iter().map(|sent| {
            let accepted = self.carry_out(&sent);
            (sent, accepted)
        });
        carried_out.collect()
    }

    fn carry_out(&mut self, sent: &Sent) -> bool {
        if self.fence_enforced && sent.fence < self.fence_highest {
            return false;
        }
        self.fence_highest = self.fence_highest.max(sent.fence);
        match &sent.kind {
            Kind::Fence => true,
            Kind::Load(key, bytes) => {
                if self.replicas.contains_key(key) {
                    return false;
                }
                let loading = (ObservedState::Loading, *bytes, None);
                self.replicas.insert(key.clone(), loading);
                true
            }
            Kind::Unload(key) => {
                self.replicas.remove(key);
                true
            }
            Kind::LoadAdapter(key, bytes) => match self.replicas.get_mut(key) {
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
