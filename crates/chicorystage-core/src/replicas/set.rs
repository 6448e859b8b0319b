use std::collections::BTreeMap;

use chicorystage_api::name::{AdapterName, ModelName};
use chicorystage_api::peer::ReplicaState;

use crate::ledger::{Ledger, ReservationOwner};
use crate::replicas::load_state::{LoadState, LoadTransition};
use crate::replicas::{
    Adapter, BeginError, EndedOrder, ObservedState, OrderEnd, Replica, ReplicaKey, ReplicaUse,
};

/// Replicas of one endpoint and the memory reserved for them.
///
/// Each call takes time linear in the number of replicas and adapters of the endpoint.
#[derive(Clone, Debug, Default)]
pub struct Replicas {
    pub(super) ledger: Ledger,
    pub(super) by_key: BTreeMap<ReplicaKey, Replica>,
    /// Times at which replicas were removed, so that an older status does not add them again.
    pub(super) gone_ms: BTreeMap<ReplicaKey, u64>,
    pub(super) idle_total_ms: BTreeMap<ModelName, u64>,
    last_order: u64,
}

impl Replicas {
    /// Returns the memory reservations.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns a replica in any state; `None` if it does not exist.
    #[must_use]
    pub fn get(&self, key: &ReplicaKey) -> Option<&Replica> {
        self.by_key.get(key)
    }

    /// Returns all replicas, ordered by key.
    pub fn iter(&self) -> impl Iterator<Item = (&ReplicaKey, &Replica)> {
        self.by_key.iter()
    }

    /// Returns the replicas of a model.
    ///
    /// There is more than one only if the engine still has replicas of another version.
    pub fn of_model<'a>(
        &'a self,
        model: &'a ModelName,
    ) -> impl Iterator<Item = (&'a ReplicaKey, &'a Replica)> {
        self.by_key.iter().filter(|(key, _)| key.model == *model)
    }

    /// Reserves memory for a replica and returns the number of its load order.
    ///
    /// # Errors
    ///
    /// Fails if a replica of the model exists in any version and state, or if too little memory
    /// is free.
    pub fn begin_load(
        &mut self,
        key: &ReplicaKey,
        memory_bytes: u64,
        now_ms: u64,
    ) -> Result<u64, BeginError> {
        if self.of_model(&key.model).next().is_some() {
            return Err(BeginError::Busy);
        }
        self.ledger
            .reserve(ReservationOwner::replica(key), memory_bytes)
            .map_err(BeginError::Full)?;
        let order = self.next_order();
        let replica = Replica::new(
            LoadState::loading(order, now_ms),
            memory_bytes,
            order,
            now_ms,
        );
        self.by_key.insert(key.clone(), replica);
        Ok(order)
    }

    /// Starts the unload of an idle replica and returns the number of its order.
    ///
    /// # Errors
    ///
    /// Fails unless the replica is loaded, runs no attempt and has no adapter whose order is in
    /// flight or unresolved.
    pub fn begin_unload(&mut self, key: &ReplicaKey, now_ms: u64) -> Result<u64, BeginError> {
        let order = self.next_order();
        let replica = self.by_key.get_mut(key).ok_or(BeginError::Busy)?;
        if replica.state() != ReplicaState::Loaded
            || replica.in_use > 0
            || replica.has_adapter_order()
        {
            return Err(BeginError::Busy);
        }
        let idle_ms = replica.idle_ms(now_ms);
        replica.load_state.begin_unload(order, now_ms);
        self.add_idle(&key.model, idle_ms);
        Ok(order)
    }

    /// Reserves memory for an adapter and returns the number of its load order.
    ///
    /// # Errors
    ///
    /// Fails unless the replica is loaded and the adapter is absent, or if too little memory is
    /// free.
    pub fn begin_adapter_load(
        &mut self,
        key: &ReplicaKey,
        adapter: &AdapterName,
        memory_bytes: u64,
        now_ms: u64,
    ) -> Result<u64, BeginError> {
        let order = self.next_order();
        let replica = self.by_key.get_mut(key).ok_or(BeginError::Busy)?;
        if replica.state() != ReplicaState::Loaded || replica.adapters.contains_key(adapter) {
            return Err(BeginError::Busy);
        }
        self.ledger
            .reserve(ReservationOwner::adapter(key, adapter), memory_bytes)
            .map_err(BeginError::Full)?;
        let loading = Adapter::new(LoadState::loading(order, now_ms), now_ms);
        replica.adapters.insert(adapter.clone(), loading);
        Ok(order)
    }

    /// Starts the unload of an idle adapter and returns the number of its order.
    ///
    /// # Errors
    ///
    /// Fails unless the replica and the adapter are loaded and the adapter runs no attempt.
    pub fn begin_adapter_unload(
        &mut self,
        key: &ReplicaKey,
        adapter: &AdapterName,
        now_ms: u64,
    ) -> Result<u64, BeginError> {
        let order = self.next_order();
        let replica = self.by_key.get_mut(key).ok_or(BeginError::Busy)?;
        let is_loaded = replica.state() == ReplicaState::Loaded;
        let adapter = replica.adapters.get_mut(adapter).ok_or(BeginError::Busy)?;
        if !is_loaded || adapter.state() != ReplicaState::Loaded || adapter.in_use > 0 {
            return Err(BeginError::Busy);
        }
        adapter.load_state.begin_unload(order, now_ms);
        Ok(order)
    }

    /// Applies the end of an order; returns `None` if the order has already been resolved.
    pub fn end_order(&mut self, order: u64, end: OrderEnd, now_ms: u64) -> Option<EndedOrder> {
        let (replica, adapter) = self.find_order(order)?;
        let load_state = self.load_state_mut(&replica, adapter.as_ref())?;
        let is_load = load_state.is_load();
        let transition = load_state.end(end, now_ms);
        self.apply_transition(&replica, adapter.as_ref(), transition, now_ms);
        Some(EndedOrder {
            replica,
            adapter,
            is_load,
            end,
        })
    }

    /// Counts one more attempt on a loaded replica and, if given, on its adapter.
    ///
    /// Returns `None` if one of them is not loaded.
    pub fn acquire(
        &mut self,
        key: &ReplicaKey,
        adapter: Option<&AdapterName>,
        now_ms: u64,
    ) -> Option<ReplicaUse> {
        let replica = self.by_key.get_mut(key)?;
        if replica.state() != ReplicaState::Loaded {
            return None;
        }
        let idle_ms = replica.idle_ms(now_ms);
        if let Some(name) = adapter {
            let adapter = replica.adapters.get_mut(name)?;
            if adapter.state() != ReplicaState::Loaded {
                return None;
            }
            adapter.in_use += 1;
        }
        replica.in_use += 1;
        let serial = replica.serial;
        self.add_idle(&key.model, idle_ms);
        Some(ReplicaUse {
            key: key.clone(),
            adapter: adapter.cloned(),
            serial,
        })
    }

    /// Ends a use that [`acquire`](Self::acquire) returned.
    ///
    /// Has no effect if the replica has been replaced by a later one since.
    pub fn release(&mut self, used: &ReplicaUse, now_ms: u64) {
        let Some(replica) = self.by_key.get_mut(&used.key) else {
            return;
        };
        if replica.serial != used.serial {
            return;
        }
        replica.in_use = replica.in_use.saturating_sub(1);
        replica.idle_since_ms = now_ms;
        let name = used.adapter.as_ref();
        let Some(adapter) = name.and_then(|name| replica.adapters.get_mut(name)) else {
            return;
        };
        adapter.in_use = adapter.in_use.saturating_sub(1);
        adapter.idle_since_ms = now_ms;
    }

    pub(super) fn next_order(&mut self) -> u64 {
        self.last_order += 1;
        self.last_order
    }

    pub(super) fn add_idle(&mut self, model: &ModelName, idle_ms: u64) {
        if idle_ms > 0 {
            *self.idle_total_ms.entry(model.clone()).or_default() += idle_ms;
        }
    }

    fn find_order(&self, order: u64) -> Option<(ReplicaKey, Option<AdapterName>)> {
        for (key, replica) in &self.by_key {
            if replica.load_state.order() == Some(order) {
                return Some((key.clone(), None));
            }
            let mut adapters = replica.adapters.iter();
            if let Some((name, _)) =
                adapters.find(|(_, adapter)| adapter.load_state.order() == Some(order))
            {
                return Some((key.clone(), Some(name.clone())));
            }
        }
        None
    }

    pub(super) fn load_state_mut(
        &mut self,
        key: &ReplicaKey,
        adapter: Option<&AdapterName>,
    ) -> Option<&mut LoadState> {
        let replica = self.by_key.get_mut(key)?;
        let Some(adapter) = adapter else {
            return Some(&mut replica.load_state);
        };
        Some(&mut replica.adapters.get_mut(adapter)?.load_state)
    }

    pub(super) fn apply_transition(
        &mut self,
        key: &ReplicaKey,
        adapter: Option<&AdapterName>,
        transition: LoadTransition,
        now_ms: u64,
    ) {
        match (transition, adapter) {
            (LoadTransition::Unchanged, _) => {}
            (LoadTransition::Loaded, None) => {
                if let Some(replica) = self.by_key.get_mut(key) {
                    replica.idle_since_ms = now_ms;
                }
            }
            (LoadTransition::Loaded, Some(adapter)) => {
                let replica = self.by_key.get_mut(key);
                if let Some(adapter) = replica.and_then(|replica| replica.adapters.get_mut(adapter))
                {
                    adapter.idle_since_ms = now_ms;
                }
            }
            (LoadTransition::Gone, None) => self.remove(key, now_ms),
            (LoadTransition::Gone, Some(adapter)) => {
                if let Some(replica) = self.by_key.get_mut(key) {
                    replica.adapters.remove(adapter);
                    replica.adapter_gone_ms = now_ms;
                }
                self.ledger
                    .release(&ReservationOwner::adapter(key, adapter));
            }
        }
    }

    fn remove(&mut self, key: &ReplicaKey, now_ms: u64) {
        let Some(replica) = self.by_key.get_mut(key) else {
            return;
        };
        if replica.has_adapter_order() {
            // The adapter order may still take effect on a later replica of this model.
            replica.load_state = LoadState::adopted(ObservedState::Loading, now_ms);
            return;
        }
        let idle_ms = replica.idle_ms(now_ms);
        self.add_idle(&key.model, idle_ms);
        let Some(replica) = self.by_key.remove(key) else {
            return;
        };
        for adapter in replica.adapters.keys() {
            self.ledger
                .release(&ReservationOwner::adapter(key, adapter));
        }
        self.ledger.release(&ReservationOwner::replica(key));
        self.gone_ms.insert(key.clone(), now_ms);
    }
}
