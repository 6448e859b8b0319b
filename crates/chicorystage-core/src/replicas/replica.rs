use std::collections::BTreeMap;

use chicorystage_api::name::AdapterName;
use chicorystage_api::peer::ReplicaState;

use crate::replicas::Adapter;
use crate::replicas::load_state::LoadState;

/// A replica of a model on an endpoint, with its adapters, load state and use count.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) load_state: LoadState,
    pub(crate) memory_bytes: u64,
    pub(crate) adapters: BTreeMap<AdapterName, Adapter>,
    pub(crate) in_use: u32,
    pub(crate) idle_since_ms: u64,
    /// Time at which an adapter was last removed, so that an older status does not add it again.
    pub(crate) adapter_gone_ms: u64,
    /// Number that no other replica of the endpoint has; a use of an earlier replica is ignored.
    pub(crate) serial: u64,
}

impl Replica {
    /// Creates an unused replica in the given state, without adapters.
    pub(crate) fn new(load_state: LoadState, memory_bytes: u64, serial: u64, now_ms: u64) -> Self {
        Self {
            load_state,
            memory_bytes,
            adapters: BTreeMap::new(),
            in_use: 0,
            idle_since_ms: now_ms,
            adapter_gone_ms: 0,
            serial,
        }
    }

    /// Returns the load state of the replica.
    #[must_use]
    pub fn state(&self) -> ReplicaState {
        self.load_state.state()
    }

    /// Returns the number of attempts that it runs.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Returns the time since its last attempt ended, in milliseconds; 0 while it is in use or
    /// not loaded.
    #[must_use]
    pub fn idle_ms(&self, now_ms: u64) -> u64 {
        if self.in_use > 0 || self.state() != ReplicaState::Loaded {
            return 0;
        }
        now_ms.saturating_sub(self.idle_since_ms)
    }

    /// Returns an adapter; `None` if it is neither loaded nor the subject of an order.
    #[must_use]
    pub fn adapter(&self, name: &AdapterName) -> Option<&Adapter> {
        self.adapters.get(name)
    }

    /// Returns the names of the loaded adapters.
    pub fn loaded_adapters(&self) -> impl Iterator<Item = &AdapterName> {
        self.adapters
            .iter()
            .filter(|(_, adapter)| adapter.state() == ReplicaState::Loaded)
            .map(|(name, _)| name)
    }

    /// Returns whether an adapter has an order that is in flight or unresolved.
    pub(crate) fn has_adapter_order(&self) -> bool {
        self.adapters
            .values()
            .any(|adapter| adapter.state() != ReplicaState::Loaded)
    }
}
