//! Load orders: commands to the engine to load the replicas and adapters that attempts need.
//!
//! A load begins only if the VM holds the model's slot, the fence is open and
//! enough memory can be reserved. If memory is short, idle replicas and adapters
//! are unloaded first. An adapter load, and a replica load whose weights are not
//! cached locally, wait for a permit.

use std::sync::Arc;

use chicorystage_api::peer::{PermitKind, ReplicaState};
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_borders::engine::{CacheTier, Order, OrderKind};
use chicorystage_borders::vm_list::VmState;
use chicorystage_core::replicas::{BeginError, ReplicaKey};
use chicorystage_core::slots::SlotStatus;
use tokio::sync::watch;

use crate::agent::admission::leaving_refusal;
use crate::agent::borders::Endpoint;
use crate::agent::dispatch::RequestedVersions;
use crate::agent::main_loop::AgentLoop;
use crate::agent::order_task;
use crate::agent::permit::PermitClient;
use crate::agent::readiness::Readiness;
use crate::agent::target::Target;
use crate::agent::urgency::Urgency;

/// Maximum number of concurrent adapter loads of one agent.
const ADAPTER_LOADS_MAX: usize = 8;

impl AgentLoop {
    /// Sends the next order that a target needs, if the agent may send it now.
    ///
    /// A loaded replica of another version is unloaded first, if the longest waiting
    /// attempt for the model needs the target's version. A load in progress takes
    /// over the urgency if it is higher.
    pub(super) fn ensure_loaded(
        &mut self,
        target: &Target,
        requested: &RequestedVersions,
        urgency: Urgency,
        now_ms: u64,
    ) -> Readiness {
        if let Some(readiness) = self.check_slot(target) {
            return readiness;
        }
        let model = &target.key.model;
        let existing = self.replicas.of_model(model).next();
        let existing = existing.map(|(key, replica)| (key.clone(), replica.state()));
        match existing {
            Some((key, ReplicaState::Loaded)) if key == target.key => {
                self.ensure_adapter_loaded(target, requested, urgency, now_ms)
            }
            Some((other, ReplicaState::Loaded)) => {
                let is_held = self.slots.status(model) == SlotStatus::Held;
                if is_held && requested.get(model) == Some(&target.key.version) {
                    self.unload(&other, now_ms);
                }
                Readiness::Pending
            }
            Some((key, _)) => {
                self.raise_urgency(&key, urgency);
                Readiness::Pending
            }
            None => self.begin_load(target, requested, urgency, now_ms),
        }
    }

    fn begin_load(
        &mut self,
        target: &Target,
        requested: &RequestedVersions,
        urgency: Urgency,
        now_ms: u64,
    ) -> Readiness {
        if self.drain.is_leaving() {
            return Readiness::Refused(leaving_refusal());
        }
        let is_requested = requested.get(&target.key.model) == Some(&target.key.version);
        let is_held = self.slots.status(&target.key.model) == SlotStatus::Held;
        if self.fence.token().is_none() || !is_requested || !is_held {
            return Readiness::Pending;
        }
        match self.send_load_order(target, urgency, now_ms) {
            Ok(()) => Readiness::Pending,
            Err(error) => self.on_begin_error(error, requested, now_ms),
        }
    }

    /// Reserves memory and sends the order to load a replica.
    ///
    /// # Errors
    ///
    /// Fails if a replica of the model exists already or if too little memory is free.
    pub(super) fn send_load_order(
        &mut self,
        target: &Target,
        urgency: Urgency,
        now_ms: u64,
    ) -> Result<(), BeginError> {
        let order = self
            .replicas
            .begin_load(&target.key, target.memory_bytes, now_ms)?;
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
        let permit_client = self.must_fetch_weights(&target.key).then(|| {
            let (sender, receiver) = watch::channel(urgency);
            self.load_urgencies.insert(target.key.clone(), sender);
            self.permit_client(order, PermitKind::Model, receiver)
        });
        self.send_order(order, kind, permit_client);
        Ok(())
    }

    fn ensure_adapter_loaded(
        &mut self,
        target: &Target,
        requested: &RequestedVersions,
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
            None if self.fence.token().is_none() => return Readiness::Pending,
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
            Err(error) => return self.on_begin_error(error, requested, now_ms),
        };
        let kind = OrderKind::LoadAdapter {
            model: target.key.model.clone(),
            adapter: adapter.clone(),
            memory_bytes: bytes,
        };
        // The urgency of an adapter load is never raised.
        let (_sender, urgency) = watch::channel(urgency);
        let permit_client = self.permit_client(order, PermitKind::Adapter, urgency);
        self.send_order(order, kind, Some(permit_client));
        Readiness::Pending
    }

    /// Handles a load that cannot begin: waits, frees memory or refuses the target.
    fn on_begin_error(
        &mut self,
        error: BeginError,
        requested: &RequestedVersions,
        now_ms: u64,
    ) -> Readiness {
        let full = match error {
            BeginError::Busy => return Readiness::Pending,
            BeginError::Full(full) => full,
        };
        if full.requested_bytes > self.replicas.ledger().total_bytes() {
            let detail = "the model is larger than the endpoint's memory";
            return Readiness::Refused(Refusal::not_run(RefusalCode::MemoryFull, detail));
        }
        self.free_memory(full, requested, now_ms)
    }

    pub(super) fn send_order(
        &self,
        number: u64,
        kind: OrderKind,
        permit_client: Option<PermitClient>,
    ) {
        let (Some(fence), Endpoint::Engine(engine)) = (self.fence.token(), &self.borders.endpoint)
        else {
            return;
        };
        let order = Order { fence, kind };
        let (engine, handle) = (Arc::clone(engine), self.handle.clone());
        tokio::spawn(order_task::run_order(
            engine,
            handle,
            self.clock,
            number,
            order,
            permit_client,
        ));
    }

    /// Returns whether a replica's weights must be fetched, since no local cache has them.
    fn must_fetch_weights(&self, key: &ReplicaKey) -> bool {
        let cached = self.engine_status.iter().flat_map(|engine| &engine.cached);
        let mut local = cached.filter(|cached| cached.tier != CacheTier::Remote);
        !local.any(|cached| cached.model == key.model && cached.version == key.version)
    }

    /// Raises the urgency of a load that waits for a permit, if a more urgent attempt arrived.
    fn raise_urgency(&mut self, key: &ReplicaKey, urgency: Urgency) {
        let Some(sender) = self.load_urgencies.get(key) else {
            return;
        };
        sender.send_if_modified(|known| {
            let is_higher = urgency < *known;
            if is_higher {
                *known = urgency;
            }
            is_higher
        });
    }

    fn permit_client(
        &self,
        ticket: u64,
        kind: PermitKind,
        urgency: watch::Receiver<Urgency>,
    ) -> PermitClient {
        let vms = self.vms.borrow();
        let routers = vms
            .iter()
            .filter(|vm| vm.group == self.settings.router_group && vm.state == VmState::Live);
        PermitClient {
            link: Arc::clone(&self.borders.routers),
            routers: routers.cloned().collect(),
            vm: self.daemon.vm.clone(),
            ticket,
            kind,
            urgency,
            clock: self.clock,
            locally_paced_orders: self.locally_paced_orders,
        }
    }
}
