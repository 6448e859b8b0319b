//! Reconciliation of the expected replicas with an engine's status.

use chicorystage_api::name::AdapterName;
use chicorystage_api::peer::ReplicaState;

use crate::ledger::ReservationOwner;
use crate::replicas::load_state::{LoadState, LoadTransition};
use crate::replicas::{
    Adapter, ObservedAdapter, ObservedReplica, ObservedState, Replica, ReplicaKey, Replicas,
};

impl Replicas {
    /// Reconciles the replicas with a status that was requested at `requested_ms`.
    ///
    /// Replicas that no order of this agent loaded are added, with their memory reserved as
    /// reported.
    pub fn reconcile(
        &mut self,
        total_bytes: u64,
        observed: &[ObservedReplica],
        requested_ms: u64,
        order_in_flight_max_ms: u64,
    ) {
        self.ledger.set_total(total_bytes);
        let keys: Vec<ReplicaKey> = self.by_key.keys().cloned().collect();
        for key in keys {
            let found = observed.iter().find(|replica| replica.key == key);
            self.observe(&key, found, requested_ms, order_in_flight_max_ms);
        }
        for found in observed {
            self.adopt(found, requested_ms);
        }
        self.gone_ms.retain(|_, gone_ms| *gone_ms >= requested_ms);
    }

    fn observe(
        &mut self,
        key: &ReplicaKey,
        found: Option<&ObservedReplica>,
        requested_ms: u64,
        order_in_flight_max_ms: u64,
    ) {
        let adapters: Vec<AdapterName> = match self.by_key.get(key) {
            Some(replica) => replica.adapters.keys().cloned().collect(),
            None => return,
        };
        for name in adapters {
            let observed = found
                .is_some_and(|found| found.adapters.iter().any(|adapter| adapter.name == name))
                .then_some(ObservedState::Loaded);
            let transition = self.load_state_mut(key, Some(&name)).map(|load_state| {
                // The engine also lists an adapter that is still loading.
                let observed = observed.filter(|_| load_state.state() != ReplicaState::Loading);
                load_state.observe(observed, requested_ms, order_in_flight_max_ms)
            });
            let transition = transition.unwrap_or(LoadTransition::Unchanged);
            self.apply_transition(key, Some(&name), transition, requested_ms);
        }
        let observed = found.map(|found| found.state);
        let transition = self
            .load_state_mut(key, None)
            .map(|load_state| load_state.observe(observed, requested_ms, order_in_flight_max_ms));
        self.apply_transition(
            key,
            None,
            transition.unwrap_or(LoadTransition::Unchanged),
            requested_ms,
        );
    }

    fn adopt(&mut self, found: &ObservedReplica, requested_ms: u64) {
        let gone_later = self
            .gone_ms
            .get(&found.key)
            .is_some_and(|gone_ms| *gone_ms >= requested_ms);
        if gone_later {
            return;
        }
        if !self.by_key.contains_key(&found.key) {
            let load_state = LoadState::adopted(found.state, requested_ms);
            let serial = self.next_order();
            let replica = Replica::new(load_state, found.memory_bytes, serial, requested_ms);
            self.by_key.insert(found.key.clone(), replica);
            self.ledger
                .record(ReservationOwner::replica(&found.key), found.memory_bytes);
        }
        for adapter in &found.adapters {
            self.adopt_adapter(&found.key, adapter, requested_ms);
        }
    }

    fn adopt_adapter(&mut self, key: &ReplicaKey, found: &ObservedAdapter, requested_ms: u64) {
        let Some(replica) = self.by_key.get_mut(key) else {
            return;
        };
        if requested_ms <= replica.adapter_gone_ms || replica.adapters.contains_key(&found.name) {
            return;
        }
        let adopted = Adapter::new(
            LoadState::adopted(ObservedState::Loaded, requested_ms),
            requested_ms,
        );
        replica.adapters.insert(found.name.clone(), adopted);
        self.ledger.record(
            ReservationOwner::adapter(key, &found.name),
            found.memory_bytes,
        );
    }
}
