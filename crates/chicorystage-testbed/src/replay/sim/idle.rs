//! Idle replicas: keep-alive, prewarming and accounting of idle time.

use chicorystage_core::keep_alive::{KeepAliveCost, KeepAlivePlan};

use crate::replay::sim::event_queue::Event;
use crate::replay::sim::loads::{load_ms, tier_of_unloaded};
use crate::replay::sim::simulation::Simulation;
use crate::replay::sim::worker::ReplicaState;

/// Longest keep-alive that the rules of the deployments allow, in milliseconds.
const KEEP_ALIVE_MAX_MS: u64 = 8 * 60 * 60 * 1_000;
/// Unit of an accelerator's memory share: thousandths.
const PERMILLE: u64 = 1_000;

impl Simulation<'_> {
    /// Marks a replica as idle and schedules the end of its keep-alive.
    ///
    /// The replica stays through its prewarm window where reloading it for the
    /// window would have to start already.
    pub(crate) fn begin_idle(&mut self, w: usize, model: usize) {
        let replica = &mut self.workers[w].replicas[model];
        replica.idle_since_ms = self.now_ms;
        let epoch = replica.epoch;
        let plan = self.keep_alive_plan(w, model);
        let last_ms = self.last_use_ms(w, model);
        let mut ends_ms = last_ms.saturating_add(plan.keep_alive_ms);
        if let Some(window) = plan.prewarm.filter(|window| {
            self.now_ms >= last_ms + window.from_ms.saturating_sub(self.reload_ms(w, model))
        }) {
            ends_ms = ends_ms.max(last_ms + window.until_ms);
        }
        let ends_ms = ends_ms.max(self.now_ms);
        self.events.schedule(
            ends_ms,
            Event::KeepAliveExpired {
                worker: w,
                model,
                epoch,
            },
        );
    }

    pub(crate) fn keep_alive_expired(&mut self, w: usize, model: usize, epoch: u64) {
        let replica = &self.workers[w].replicas[model];
        let idle = self.workers[w].is_loaded(model) && replica.in_use == 0;
        if !idle || replica.epoch != epoch {
            return;
        }
        self.unload(w, model);
        let last_ms = self.last_use_ms(w, model);
        let Some(window) = self.keep_alive_plan(w, model).prewarm else {
            return;
        };
        let load_from_ms = (last_ms + window.from_ms).saturating_sub(self.reload_ms(w, model));
        if load_from_ms > self.now_ms {
            self.events.schedule(
                load_from_ms,
                Event::Prewarm {
                    worker: w,
                    model,
                    epoch,
                },
            );
        }
    }

    pub(crate) fn prewarm(&mut self, w: usize, model: usize, epoch: u64) {
        let worker = &self.workers[w];
        let absent = worker.replicas[model].state == ReplicaState::Absent;
        let fits = worker.memory_free_bytes >= self.deployment.models[model].memory_bytes;
        if worker.up && absent && fits && worker.replicas[model].epoch == epoch {
            self.workers[w].replicas[model].prewarmed = true;
            self.tally.prewarms += 1;
            self.begin_load(w, model);
        }
    }

    /// Unloads an idle replica; its weights stay cached in host memory and on disk.
    pub(crate) fn unload(&mut self, w: usize, model: usize) {
        self.count_idle_time(w, model);
        let bytes = self.deployment.models[model].memory_bytes;
        let worker = &mut self.workers[w];
        worker.replicas[model].state = ReplicaState::Absent;
        worker.replicas[model].prewarmed = false;
        worker.memory_free_bytes += bytes;
        worker.caches.put(model, bytes);
    }

    /// Adds a replica's idle time up to now to the tally, where it is idle.
    pub(crate) fn count_idle_time(&mut self, w: usize, model: usize) {
        let worker = &mut self.workers[w];
        let loaded = worker.is_loaded(model);
        let replica = &mut worker.replicas[model];
        if loaded && replica.in_use == 0 {
            let idle_ms = self.now_ms - replica.idle_since_ms;
            let bytes = self.deployment.models[model].memory_bytes;
            self.tally.idle_bytes_ms += u128::from(idle_ms) * u128::from(bytes);
            replica.idle_since_ms = self.now_ms;
        }
    }

    pub(crate) fn count_remaining_idle_time(&mut self) {
        for w in 0..self.workers.len() {
            for model in 0..self.deployment.models.len() {
                self.count_idle_time(w, model);
            }
        }
    }

    fn keep_alive_plan(&self, w: usize, model: usize) -> KeepAlivePlan {
        let spec = &self.deployment.models[model];
        let permille = spec.memory_bytes * PERMILLE / self.deployment.memory_bytes;
        let cost = KeepAliveCost {
            reload_ms: self.reload_ms(w, model),
            memory_permille: u32::try_from(permille).unwrap_or(u32::MAX),
            cold_start_weight_percent: self.cold_start_weight_percent,
            keep_alive_min_ms: 0,
            keep_alive_max_ms: KEEP_ALIVE_MAX_MS,
        };
        let history = &self.workers[w].history;
        self.policy.idle.plan(history, &spec.name, &cost)
    }

    fn reload_ms(&self, w: usize, model: usize) -> u64 {
        let bytes = self.deployment.models[model].memory_bytes;
        let tier = tier_of_unloaded(
            &self.workers[w].caches,
            model,
            self.workers[w].is_loaded(model),
        );
        load_ms(tier, bytes, self.weight_store_slowdown())
    }

    fn last_use_ms(&self, w: usize, model: usize) -> u64 {
        let name = &self.deployment.models[model].name;
        self.workers[w].history.last_ms(name).unwrap_or(self.now_ms)
    }
}
