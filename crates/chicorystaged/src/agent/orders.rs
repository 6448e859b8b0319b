//! Orders to the engine: loads, unloads and adapters.

use std::sync::Arc;

use chicorystage_api::inventory::Class;
use chicorystage_api::name::AdapterName;
use chicorystage_api::peer::{PermitKind, ReplicaState};
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_core::ledger::{Holding, LedgerFull};
use chicorystage_core::replicas::{BeginError, EndedOrder, OrderEnd, ReplicaKey};
use chicorystage_core::slots::Standing;
use chicorystage_platform::BorderError;
use chicorystage_platform::engine::{CacheTier, Order, OrderKind};
use chicorystage_platform::vm_list::VmState;

use crate::agent::admission::leaving;
use crate::agent::borders::Endpoint;
use crate::agent::dispatch::WantedVersions;
use crate::agent::main_loop::AgentLoop;
use crate::agent::order_task;
use crate::agent::permit::PermitAsker;
use crate::agent::readiness::Readiness;
use crate::agent::target::Target;

/// Adapter fetches of one agent in flight at once.
const ADAPTER_LOADS_MAX: usize = 8;
/// Delay after which a failed load may be tried again, in milliseconds.
const LOAD_RETRY_AFTER_MS: u64 = 500;

/// Highest class that waits for an order, and the time left to its deadline.
type Urgency = (Class, u64);

impl AgentLoop {
    /// Gives the next order that a target needs, if it may be given.
    pub(super) fn ensure(
        &mut self,
        target: &Target,
        wanted: &WantedVersions,
        urgency: Urgency,
        now_ms: u64,
    ) -> Readiness {
        if let Some(readiness) = self.check_slot(target) {
            return readiness;
        }
        let model = &target.key.model;
        let found = self.replicas.of_model(model).next();
        let found = found.map(|(key, replica)| (key.clone(), replica.state()));
        match found {
            Some((key, ReplicaState::Loaded)) if key == target.key => {
                self.ensure_adapter(target, wanted, urgency, now_ms)
            }
            Some((other, ReplicaState::Loaded)) => {
                if wanted.get(model) == Some(&target.key.version) {
                    self.unload(&other, now_ms);
                }
                Readiness::Pending
            }
            Some(_) => Readiness::Pending,
            None => self.begin_load(target, wanted, urgency, now_ms),
        }
    }

    fn begin_load(
        &mut self,
        target: &Target,
        wanted: &WantedVersions,
        urgency: Urgency,
        now_ms: u64,
    ) -> Readiness {
        if self.drain.is_leaving() {
            return Readiness::Refused(leaving());
        }
        let is_wanted = wanted.get(&target.key.model) == Some(&target.key.version);
        let is_held = self.slots.standing(&target.key.model) == Standing::Held;
        if self.fence.number().is_none() || !is_wanted || !is_held {
            return Readiness::Pending;
        }
        let begun = self
            .replicas
            .begin_load(&target.key, target.memory_bytes, now_ms);
        let order = match begun {
            Ok(order) => order,
            Err(error) => return self.cannot_begin(error, wanted, now_ms),
        };
        log::info!(
            event = "replica_loading", model = target.key.model.as_str(),
            version = target.key.version.as_str();
            "loading a replica"
        );
        let kind = OrderKind::Load {
            model: target.key.model.clone(),
            version: target.key.version.clone(),
            memory_bytes: target.memory_bytes,
        };
        let asker = self
            .is_remote(&target.key)
            .then(|| self.permit_asker(order, PermitKind::Model, urgency));
        self.give_order(order, kind, asker);
        Readiness::Pending
    }

    fn ensure_adapter(
        &mut self,
        target: &Target,
        wanted: &WantedVersions,
        urgency: Urgency,
        now_ms: u64,
    ) -> Readiness {
        let Some(adapter) = &target.adapter else {
            return Readiness::Ready;
        };
        let replica = self.replicas.get(&target.key);
        let state = replica
            .and_then(|replica| replica.adapter(adapter))
            .map(chicorystage_core::replicas::Adapter::state);
        match state {
            Some(ReplicaState::Loaded) => return Readiness::Ready,
            Some(_) => return Readiness::Pending,
            None if self.fence.number().is_none() => return Readiness::Pending,
            None if self.replicas.adapter_loads() >= ADAPTER_LOADS_MAX => {
                return Readiness::Pending;
            }
            None => {}
        }
        let bytes = target.adapter_memory_bytes;
        let begun = self
            .replicas
            .begin_adapter_load(&target.key, adapter, bytes, now_ms);
        let order = match begun {
            Ok(order) => order,
            Err(error) => return self.cannot_begin(error, wanted, now_ms),
        };
        let kind = OrderKind::LoadAdapter {
            model: target.key.model.clone(),
            adapter: adapter.clone(),
            memory_bytes: bytes,
        };
        let asker = self.permit_asker(order, PermitKind::Adapter, urgency);
        self.give_order(order, kind, Some(asker));
        Readiness::Pending
    }

    fn cannot_begin(
        &mut self,
        error: BeginError,
        wanted: &WantedVersions,
        now_ms: u64,
    ) -> Readiness {
        let full = match error {
            BeginError::Busy => return Readiness::Pending,
            BeginError::Full(full) => full,
        };
        if full.wanted_bytes > self.replicas.ledger().total_bytes() {
            let detail = "the model is larger than the endpoint's memory";
            return Readiness::Refused(Refusal::not_run(RefusalCode::MemoryFull, detail));
        }
        self.make_room(full, wanted, now_ms)
    }

    /// Unloads what is idle until enough memory is about to be free.
    fn make_room(&mut self, full: LedgerFull, wanted: &WantedVersions, now_ms: u64) -> Readiness {
        let mut freed_bytes = self.replicas.unloading_bytes();
        if freed_bytes >= full.missing_bytes() {
            return Readiness::Pending;
        }
        for (key, adapter) in self.replicas.idle_adapters() {
            if freed_bytes >= full.missing_bytes() {
                return Readiness::Pending;
            }
            if !self.is_adapter_wanted(&key, &adapter) {
                self.unload_adapter(&key, &adapter, now_ms);
                freed_bytes = self.replicas.unloading_bytes();
            }
        }
        let mut idle = self.replicas.idle(now_ms);
        idle.retain(|replica| wanted.get(&replica.key.model) != Some(&replica.key.version));
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

    fn is_adapter_wanted(&self, key: &ReplicaKey, adapter: &AdapterName) -> bool {
        let mut targets = self
            .queue
            .iter()
            .filter_map(|entry| entry.item.target.as_ref());
        targets.any(|target| target.key == *key && target.adapter.as_ref() == Some(adapter))
    }

    /// Unloads idle replicas whose time is up or whose slot is gone, and surplus ones.
    pub(super) fn unload_idle(&mut self, now_ms: u64) {
        if self.fence.number().is_none() {
            return;
        }
        for idle in self.replicas.idle(now_ms) {
            let model = &idle.key.model;
            let is_wanted = self.queue.iter().any(|entry| {
                let target = entry.item.target.as_ref();
                target.is_some_and(|target| target.key == idle.key)
            });
            let may_unload = match self.slots.standing(model) {
                Standing::Revoking | Standing::Absent => true,
                Standing::Unread | Standing::Held if self.drain.is_leaving() => !is_wanted,
                Standing::Unread => false,
                Standing::Held => {
                    let rule = self.inventory.rule(model);
                    let is_surplus = self.replicas.of_model(model).count() > 1;
                    !is_wanted && (is_surplus || self.policy.may_unload(&idle, rule, now_ms))
                }
            };
            if may_unload {
                self.unload(&idle.key, now_ms);
            }
        }
    }

    fn unload(&mut self, key: &ReplicaKey, now_ms: u64) {
        if self.fence.number().is_none() {
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
        self.give_order(order, kind, None);
    }

    fn unload_adapter(&mut self, key: &ReplicaKey, adapter: &AdapterName, now_ms: u64) {
        if self.fence.number().is_none() {
            return;
        }
        if let Ok(order) = self.replicas.begin_adapter_unload(key, adapter, now_ms) {
            let kind = OrderKind::UnloadAdapter {
                model: key.model.clone(),
                adapter: adapter.clone(),
            };
            self.give_order(order, kind, None);
        }
    }

    fn give_order(&self, number: u64, kind: OrderKind, asker: Option<PermitAsker>) {
        let (Some(fence), Endpoint::Engine(engine)) = (self.fence.number(), &self.borders.endpoint)
        else {
            return;
        };
        let order = Order { fence, kind };
        let (engine, handle) = (Arc::clone(engine), self.handle.clone());
        tokio::spawn(order_task::run_order(engine, handle, number, order, asker));
    }

    pub(super) fn order_ended(
        &mut self,
        order: u64,
        result: Result<(), BorderError>,
        paced_locally: bool,
    ) {
        let now_ms = self.clock.now_ms();
        self.local_orders = if paced_locally {
            self.local_orders.saturating_add(1)
        } else {
            0
        };
        let end = match &result {
            Ok(()) => OrderEnd::Done,
            Err(error) if error.had_no_effect() => OrderEnd::NoEffect,
            Err(_unknown) => OrderEnd::Unknown,
        };
        if let Some(ended) = self.replicas.end_order(order, end, now_ms) {
            self.take_end(&ended, result.err(), now_ms);
        }
        self.dispatch_due = true;
    }

    fn take_end(&mut self, ended: &EndedOrder, error: Option<BorderError>, now_ms: u64) {
        let holding = Holding {
            replica: ended.replica.clone(),
            adapter: ended.adapter.clone(),
        };
        let model = ended.replica.model.as_str();
        let adapter = ended.adapter.as_ref().map_or("", AdapterName::as_str);
        let Some(error) = error else {
            if ended.is_load {
                self.loaded_ms.insert(holding, now_ms);
                log::info!(event = "loaded", model, adapter; "load order done");
            } else {
                self.loaded_ms.remove(&holding);
                log::info!(event = "unloaded", model, adapter; "unload order done");
            }
            return;
        };
        log::warn!(event = "order_failed", model, adapter, error:% = error; "order failed");
        if ended.is_load {
            self.refuse_waiting(ended, &error);
        }
    }

    /// Refuses everyone who waited for a load that failed.
    fn refuse_waiting(&mut self, ended: &EndedOrder, error: &BorderError) {
        let waiting = self.queue.take_where(|entry| {
            entry.item.target.as_ref().is_some_and(|target| {
                let needs_it = ended.adapter.is_none() || target.adapter == ended.adapter;
                target.key == ended.replica && needs_it
            })
        });
        for entry in waiting {
            let refusal = Refusal::not_run(RefusalCode::LoadFailed, error.to_string())
                .retry_after_ms(LOAD_RETRY_AFTER_MS);
            self.refuse(&entry.item.attempt, refusal);
        }
    }

    fn is_remote(&self, key: &ReplicaKey) -> bool {
        let cached = self.engine.iter().flat_map(|engine| &engine.cached);
        let mut near = cached.filter(|cached| cached.tier != CacheTier::Remote);
        !near.any(|cached| cached.model == key.model && cached.version == key.version)
    }

    fn permit_asker(&self, ticket: u64, kind: PermitKind, urgency: Urgency) -> PermitAsker {
        let (class, time_left_ms) = urgency;
        let vms = self.vms.borrow();
        let routers = vms
            .iter()
            .filter(|vm| vm.group == self.settings.router_group && vm.state == VmState::Live);
        PermitAsker {
            link: Arc::clone(&self.borders.routers),
            routers: routers.cloned().collect(),
            vm: self.daemon.vm.clone(),
            ticket,
            kind,
            class,
            time_left_ms,
            local_orders: self.local_orders,
        }
    }
}
