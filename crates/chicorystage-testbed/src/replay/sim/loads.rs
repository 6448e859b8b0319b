//! Loads: permits, accelerator memory, eviction and the weight store's throughput.

use std::collections::HashSet;

use chicorystage_api::inventory::{Class, PolicyItem};
use chicorystage_api::peer::{PermitKind, PermitRequest};
use chicorystage_core::evict::{Resident, evict};
use chicorystage_core::permit::{PermitDecision, PermitLimits};
use chicorystage_core::placement::{CacheTier, SlotDemand};

use crate::replay::deployment::GIB;
use crate::replay::sim::caches::Caches;
use crate::replay::sim::event_queue::Event;
use crate::replay::sim::simulation::Simulation;
use crate::replay::sim::worker::ReplicaState;

/// Time that an engine takes to start a model, besides reading its weights, in milliseconds.
const ENGINE_START_MS: u64 = 1_000;
/// Time to read a gibibyte from host memory, in milliseconds.
const MEMORY_MS_PER_GIB: u64 = 150;
/// Time to read a gibibyte from local disk, in milliseconds.
const DISK_MS_PER_GIB: u64 = 600;
/// Time to read a gibibyte from the weight store at full speed, in milliseconds.
const REMOTE_MS_PER_GIB: u64 = 1_000;
/// Concurrent loads that the weight store serves at full speed; beyond that, they share it.
const FULL_SPEED_LOADS: u64 = 4;
/// Time ahead for which eviction estimates the chance of use, in milliseconds.
const USE_HORIZON_MS: u64 = 10 * 60 * 1_000;
/// Sliding window in which loads of one slot are counted, in milliseconds.
const LOAD_WINDOW_MS: u64 = 60_000;

/// Returns the duration of a load from a cache tier, in milliseconds.
///
/// `slowdown` multiplies the time to read from the weight store.
pub(crate) fn load_ms(tier: CacheTier, bytes: u64, slowdown: u64) -> u64 {
    let ms_per_gib = match tier {
        CacheTier::Loaded => return 0,
        CacheTier::Memory => MEMORY_MS_PER_GIB,
        CacheTier::Disk => DISK_MS_PER_GIB,
        CacheTier::Remote => REMOTE_MS_PER_GIB * slowdown,
    };
    ENGINE_START_MS + bytes * ms_per_gib / GIB
}

/// Returns the tier from which a model would be loaded next, after unloading it where loaded.
pub(crate) fn tier_of_unloaded(caches: &Caches, model: usize, loaded: bool) -> CacheTier {
    if loaded {
        // Unloading leaves the weights in host memory.
        CacheTier::Memory
    } else {
        caches.tier(model)
    }
}

impl Simulation<'_> {
    /// Returns the factor by which reading from the weight store takes longer, at least 1.
    pub(crate) fn weight_store_slowdown(&self) -> u64 {
        self.faults.weight_store_slowdown.max(1)
    }

    /// Starts a load; waits for a permit first where the weights come from the weight store.
    pub(crate) fn begin_load(&mut self, w: usize, model: usize) {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.workers[w].replicas[model].state = ReplicaState::WaitingPermit { ticket };
        if self.workers[w].caches.tier(model) == CacheTier::Remote {
            self.poll_permit(w, model);
        } else {
            self.start_load(w, model, ticket, None);
        }
    }

    /// Places a model's first slot where it has none, and caches its weights on the slot's VM.
    pub(crate) fn seed_cache(&mut self, model: usize) {
        if self.placements[model].is_none() {
            self.decide_placement(model, SlotDemand::First, &HashSet::new());
        }
        let Some(w) = self.first_slot_worker(model) else {
            return;
        };
        let worker = &mut self.workers[w];
        let absent = worker.replicas[model].state == ReplicaState::Absent;
        if absent && worker.caches.tier(model) == CacheTier::Remote {
            worker.replicas[model].seeding_cache = true;
            self.begin_load(w, model);
        }
    }

    pub(crate) fn poll_permit(&mut self, w: usize, model: usize) {
        let ReplicaState::WaitingPermit { ticket } = self.workers[w].replicas[model].state else {
            return;
        };
        let (class, deadline_ms) = self.most_urgent(w, model);
        let request = PermitRequest {
            vm: self.deployment.workers[w].clone(),
            ticket,
            kind: PermitKind::Model,
            class,
            time_left_ms: deadline_ms.saturating_sub(self.now_ms),
        };
        let limits = PermitLimits::from_policy(&PolicyItem::default());
        match self.permit_limiter.acquire(&request, limits, self.now_ms) {
            PermitDecision::Granted { permit_id, .. } => {
                self.start_load(w, model, ticket, Some(permit_id));
            }
            PermitDecision::Wait { retry_in_ms } => {
                let at_ms = self.now_ms + retry_in_ms;
                self.events
                    .schedule(at_ms, Event::PollPermit { worker: w, model });
            }
        }
    }

    pub(crate) fn release_permit(&mut self, permit: Option<u64>) {
        if let Some(permit_id) = permit {
            self.permit_limiter.release(permit_id);
            self.weight_store_loads -= 1;
        }
    }

    pub(crate) fn load_ended(&mut self, w: usize, model: usize, ended_ticket: u64) {
        let state = self.workers[w].replicas[model].state;
        let ReplicaState::Loading { ticket, permit, .. } = state else {
            return;
        };
        if ticket != ended_ticket {
            return;
        }
        self.release_permit(permit);
        let bytes = self.deployment.models[model].memory_bytes;
        let worker = &mut self.workers[w];
        worker.replicas[model].state = ReplicaState::Loaded;
        worker.replicas[model].idle_since_ms = self.now_ms;
        worker.caches.put(model, bytes);
        self.dispatch(w);
        let replica = &mut self.workers[w].replicas[model];
        let seeded = std::mem::take(&mut replica.seeding_cache);
        if replica.in_use > 0 {
            return;
        }
        if seeded {
            self.unload(w, model);
        } else {
            self.begin_idle(w, model);
        }
    }

    fn start_load(&mut self, w: usize, model: usize, ticket: u64, permit: Option<u64>) {
        if permit.is_some() {
            self.weight_store_loads += 1;
        }
        let bytes = self.deployment.models[model].memory_bytes;
        if !self.free_memory(w, bytes) {
            self.release_permit(permit);
            self.workers[w].replicas[model].state = ReplicaState::Absent;
            return;
        }
        self.workers[w].memory_free_bytes -= bytes;
        let tier = self.workers[w].caches.tier(model);
        let mut duration_ms = load_ms(tier, bytes, self.weight_store_slowdown());
        if permit.is_some() {
            duration_ms =
                duration_ms * self.weight_store_loads.max(FULL_SPEED_LOADS) / FULL_SPEED_LOADS;
        }
        let until_ms = self.now_ms + duration_ms;
        let replica = &mut self.workers[w].replicas[model];
        replica.state = ReplicaState::Loading {
            ticket,
            until_ms,
            permit,
        };
        replica.loads_ms.push(self.now_ms);
        let recent = replica.loads_ms.iter().rev();
        let since_ms = self.now_ms.saturating_sub(LOAD_WINDOW_MS);
        let recent_count = recent.take_while(|at_ms| **at_ms > since_ms).count() as u64;
        self.tally.loads_per_slot_max = self.tally.loads_per_slot_max.max(recent_count);
        self.tally.loads += 1;
        let ended = Event::LoadEnded {
            worker: w,
            model,
            ticket,
        };
        self.events.schedule(until_ms, ended);
    }

    fn free_memory(&mut self, w: usize, bytes: u64) -> bool {
        let free_bytes = self.workers[w].memory_free_bytes;
        if free_bytes >= bytes {
            return true;
        }
        let Some(models) = evict(&self.residents(w), bytes - free_bytes) else {
            return false;
        };
        for model in models {
            let index = self
                .deployment
                .models
                .iter()
                .position(|spec| spec.name == model);
            if let Some(index) = index {
                self.unload(w, index);
            }
        }
        true
    }

    fn residents(&self, w: usize) -> Vec<Resident> {
        let worker = &self.workers[w];
        let loaded = (0..self.deployment.models.len()).filter(|&model| worker.is_loaded(model));
        let resident = |model: usize| {
            let spec = &self.deployment.models[model];
            let awaited = worker
                .queue
                .iter()
                .any(|entry| self.rows[entry.item].model == model);
            Resident {
                model: spec.name.clone(),
                memory_bytes: spec.memory_bytes,
                reload_ms: load_ms(CacheTier::Memory, spec.memory_bytes, 1),
                probability_of_use: worker.history.probability_of_use(
                    &spec.name,
                    self.now_ms,
                    USE_HORIZON_MS,
                ),
                has_work: worker.replicas[model].in_use > 0 || awaited,
            }
        };
        loaded.map(resident).collect()
    }

    /// Returns the class and deadline of the most urgent queued request for a model.
    ///
    /// Without one, returns the lowest class and no deadline.
    fn most_urgent(&self, w: usize, model: usize) -> (Class, u64) {
        let waiting = self.workers[w].queue.iter();
        let waiting = waiting.filter(|entry| self.rows[entry.item].model == model);
        let urgency = waiting.map(|entry| (entry.class, entry.deadline_ms));
        urgency.min().unwrap_or((Class::Batch, u64::MAX))
    }
}
