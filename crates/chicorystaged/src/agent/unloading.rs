//! Unload orders: for idle replicas, and for replicas and adapters that must make room.
//!
//! Periodic checks unload replicas whose keep-alive has ended or whose slot is
//! gone. A load that is short of memory evicts idle adapters, then idle replicas.

use chicorystage_api::name::{AdapterName, ModelName};
use chicorystage_borders::engine::OrderKind;
use chicorystage_core::ledger::LedgerFull;
use chicorystage_core::replicas::ReplicaKey;
use chicorystage_core::slots::SlotStatus;

use crate::agent::dispatch::RequestedVersions;
use crate::agent::main_loop::AgentLoop;
use crate::agent::policy::KeepAliveSettings;
use crate::agent::readiness::Readiness;

impl AgentLoop {
    /// Evicts idle adapters, then idle replicas, until enough memory is being freed for a load.
    ///
    /// Adapters and versions that queued attempts need are kept. Memory of unloads
    /// in progress counts as freed. Returns [`Readiness::NoMemory`] if no memory can
    /// be freed.
    pub(super) fn free_memory(
        &mut self,
        full: LedgerFull,
        requested: &RequestedVersions,
        now_ms: u64,
    ) -> Readiness {
        let mut freed_bytes = self.replicas.unloading_bytes();
        if freed_bytes >= full.missing_bytes() {
            return Readiness::Pending;
        }
        for (key, adapter) in self.replicas.idle_adapters() {
            if freed_bytes >= full.missing_bytes() {
                return Readiness::Pending;
            }
            if !self.is_adapter_requested(&key, &adapter) {
                self.unload_adapter(&key, &adapter, now_ms);
                freed_bytes = self.replicas.unloading_bytes();
            }
        }
        let mut idle = self.replicas.idle(now_ms);
        idle.retain(|replica| requested.get(&replica.key.model) != Some(&replica.key.version));
        self.policy.sort_for_eviction(&mut idle, now_ms);
        for replica in idle {
            if freed_bytes >= full.missing_bytes() {
                return Readiness::Pending;
            }
            self.unload(&replica.key, now_ms);
            freed_bytes = self.replicas.unloading_bytes();
        }
        if freed_bytes > 0 {
            return Readiness::Pending;
        }
        Readiness::NoMemory
    }

    fn is_adapter_requested(&self, key: &ReplicaKey, adapter: &AdapterName) -> bool {
        let mut targets = self
            .queue
            .iter()
            .filter_map(|entry| entry.item.target.as_ref());
        targets.any(|target| target.key == *key && target.adapter.as_ref() == Some(adapter))
    }

    /// Unloads idle replicas that the model's slot or the keep-alive policy does not keep.
    ///
    /// Without a slot, or while the slot is being revoked, a replica is unloaded at
    /// once. Otherwise it is kept while a queued attempt needs it. If none does, it
    /// is unloaded while the agent drains or, for a held slot, when the
    /// model has another replica or the policy permits it.
    pub(super) fn unload_idle_replicas(&mut self, now_ms: u64) {
        if self.fence.token().is_none() {
            return;
        }
        for idle in self.replicas.idle(now_ms) {
            let model = &idle.key.model;
            let is_requested = self.queue.iter().any(|entry| {
                let target = entry.item.target.as_ref();
                target.is_some_and(|target| target.key == idle.key)
            });
            let may_unload = match self.slots.status(model) {
                SlotStatus::Revoking | SlotStatus::Absent => true,
                SlotStatus::Unread | SlotStatus::Held if self.drain.is_leaving() => !is_requested,
                SlotStatus::Unread => false,
                SlotStatus::Held => {
                    let settings = self.keep_alive_settings(model);
                    let is_surplus = self.replicas.of_model(model).count() > 1;
                    !is_requested
                        && (is_surplus || self.policy.may_unload(&idle, &settings, now_ms))
                }
            };
            if may_unload {
                self.unload(&idle.key, now_ms);
            }
        }
    }

    pub(super) fn keep_alive_settings(&self, model: &ModelName) -> KeepAliveSettings {
        KeepAliveSettings::new(
            self.inventory.rule(model),
            self.inventory.policy().cold_start_weight_percent,
            self.replicas.ledger().total_bytes(),
        )
    }

    pub(super) fn unload(&mut self, key: &ReplicaKey, now_ms: u64) {
        if self.fence.token().is_none() {
            return;
        }
        let Ok(order) = self.replicas.begin_unload(key, now_ms) else {
            return;
        };
        log::info!(
            event = "replica_unloading", model = key.model.as_str(), version = key.version.as_str();
            "unloading a replica"
        );
        let kind = OrderKind::Unload {
            model: key.model.clone(),
            version: key.version.clone(),
        };
        self.send_order(order, kind, None);
    }

    fn unload_adapter(&mut self, key: &ReplicaKey, adapter: &AdapterName, now_ms: u64) {
        if self.fence.token().is_none() {
            return;
        }
        if let Ok(order) = self.replicas.begin_adapter_unload(key, adapter, now_ms) {
            let kind = OrderKind::UnloadAdapter {
                model: key.model.clone(),
                adapter: adapter.clone(),
            };
            self.send_order(order, kind, None);
        }
    }
}
