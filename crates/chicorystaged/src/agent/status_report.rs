//! The agent's status, load and metrics, as reported to routers and operators.

use chicorystage_api::name::ModelName;
use chicorystage_api::peer::{AgentStatus, ReplicaStatus};
use chicorystage_api::work::EndpointLoad;
use chicorystage_borders::engine::CacheTier;

use crate::agent::borders::Endpoint;
use crate::agent::main_loop::AgentLoop;
use crate::agent::metrics::Readings;

impl AgentLoop {
    /// Returns how many attempts the endpoint can run concurrently.
    ///
    /// For an engine this is its number of batch slots, 0 before its first status.
    pub(super) fn capacity(&self) -> u32 {
        match &self.borders.endpoint {
            Endpoint::Engine(_) => self
                .engine_status
                .as_ref()
                .map_or(0, |engine| engine.batch_slots),
            Endpoint::Service(_) => self.settings.service_concurrent_max,
        }
    }

    pub(super) fn load(&self) -> EndpointLoad {
        EndpointLoad {
            running: self.running_count(),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            service_time_ms: self.service_time_ms,
            slots: self.capacity(),
        }
    }

    pub(super) fn status(&self) -> AgentStatus {
        let now_ms = self.clock.now_ms();
        let replicas = self.replicas.iter().map(|(key, replica)| ReplicaStatus {
            model: key.model.clone(),
            version: key.version.clone(),
            state: replica.state(),
            adapters: replica.loaded_adapters().cloned().collect(),
            idle_ms: replica.idle_ms(now_ms),
        });
        let slots = self.slots.held();
        AgentStatus {
            vm: self.daemon.vm.clone(),
            zone: self.daemon.zone.clone(),
            group: self.daemon.group.clone(),
            incarnation: self.incarnation,
            revision: self.inventory.revision(),
            leaving: self.drain.is_leaving(),
            endpoint_up: self.endpoint_up,
            memory_total_bytes: self.replicas.ledger().total_bytes(),
            memory_reserved_bytes: self.replicas.ledger().reserved_bytes(),
            replicas: replicas.collect(),
            cached_memory: self.cached(CacheTier::Memory),
            cached_disk: self.cached(CacheTier::Disk),
            slots: slots
                .map(|(model, version)| (model.clone(), version))
                .collect(),
            load: self.load(),
        }
    }

    pub(super) fn metrics_text(&self) -> String {
        for (model, idle_ms) in self.replicas.idle_total_ms(self.clock.now_ms()) {
            self.metrics.set_idle(model.as_str(), idle_ms);
        }
        self.metrics.text(&Readings {
            running: self.running_count(),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            memory_reserved_bytes: self.replicas.ledger().reserved_bytes(),
        })
    }

    fn cached(&self, tier: CacheTier) -> Vec<ModelName> {
        let cached = self.engine_status.iter().flat_map(|engine| &engine.cached);
        let cached = cached.filter(|cached| cached.tier == tier);
        cached.map(|cached| cached.model.clone()).collect()
    }
}
