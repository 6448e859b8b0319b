use std::collections::BTreeMap;

use chicorystage_api::name::AdapterName;
use chicorystage_api::peer::ReplicaState;

use crate::replicas::Adapter;
use crate::replicas::part::Part;

/// One replica of a model on an endpoint.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) part: Part,
    pub(crate) memory_bytes: u64,
    pub(crate) adapters: BTreeMap<AdapterName, Adapter>,
    pub(crate) in_use: u32,
    pub(crate) idle_since_ms: u64,
    pub(crate) adapter_gone_ms: u64,
    pub(crate) serial: u64,
}

impl Replica {
    /// Creates a replica in some state.
    pub(crate) fn new(part: Part, memory_bytes: u64, serial: u64, now_ms: u64) -> Self {
        Self {
            part,
            memory_bytes,
            adapters: BTreeMap::new(),
            in_use: 0,
            idle_since_ms: now_ms,
            adapter_gone_ms: 0,
            serial,
        }
    }

    /// Returns the replica's state.
    #[must_use]
    pub fn state(&self) -> ReplicaState {
        self.part.state()
    }

    /// Returns the attempts that it runs.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Returns the time since it last ran something, in milliseconds; 0 while it does.
    #[must_use]
    pub fn idle_ms(&self, now_ms: u64) -> u64 {
        if self.in_use > 0 || self.state() != ReplicaState::Loaded {
            return 0;
        }
        now_ms.saturating_sub(self.idle_since_ms)
    }

    /// Returns an adapter.
    #[must_use]
    pub fn adapter(&self, name: &AdapterName) -> Option<&Adapter> {
        self.adapters.get(name)
    }

    /// Returns the loaded adapters.
    pub fn loaded_adapters(&self) -> impl Iterator<Item = &AdapterName> {
        self.adapters
            .iter()
            .filter(|(_, adapter)| adapter.state() == ReplicaState::Loaded)
            .map(|(name, _)| name)
    }

    /// Returns whether an adapter's order is in flight or unsettled.
    pub(crate) fn has_adapter_order(&self) -> bool {
        self.adapters
            .values()
            .any(|adapter| adapter.state() != ReplicaState::Loaded)
    }
}
