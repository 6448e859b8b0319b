//! The path of a request: placement, choice of a worker, admission, queue, engine.

use std::collections::HashSet;

use chicorystage_api::peer::SlotState;
use chicorystage_api::refusal::RefusalCode;
use chicorystage_core::placement::{CacheTier, SlotDemand};
use chicorystage_core::queue::{Entry, PushOutcome, attempts_ahead};

use crate::replay::sim::event_queue::Event;
use crate::replay::sim::loads::{load_ms, tier_of_unloaded};
use crate::replay::sim::simulation::Simulation;
use crate::replay::sim::worker::ReplicaState;

/// Time to read the table and commit a placement to it, in milliseconds.
const DECISION_MS: u64 = 15;
/// Time from a request's start on an engine to its first token, in milliseconds.
const FIRST_TOKEN_MS: u64 = 150;
/// Duration of one adapter fetch, in milliseconds.
const ADAPTER_FETCH_MS: u64 = 8;
/// Concurrent adapter fetches that run at full speed.
const FULL_SPEED_FETCHES: u64 = 30;

impl Simulation<'_> {
    pub(crate) fn arrive(&mut self, request: usize) {
        let row = &self.rows[request];
        let state = &mut self.requests[request];
        if state.deadline_ms == 0 {
            state.arrived_ms = row.at_ms;
            state.deadline_ms = row.at_ms + row.timeout_ms;
            self.tally.requests += 1;
            let demand = self
                .tally
                .demand_by_tenant_ms
                .entry(row.caller)
                .or_default();
            *demand += row.service_ms;
        }
        let usable = self.best_slot(request).is_some();
        if usable && self.cached_placements.contains(&(row.router, row.model)) {
            self.route(request);
        } else {
            self.request_placement(request, false);
        }
    }

    pub(crate) fn placement_decided(&mut self, request: usize, additional: bool) {
        let row = &self.rows[request];
        let current = self.placements[row.model].as_ref();
        let seen_row_version = current.map_or(0, |push| push.row_version);
        let demand = if additional {
            SlotDemand::Additional { seen_row_version }
        } else {
            SlotDemand::First
        };
        let avoid = self.requests[request].avoided_workers.clone();
        self.decide_placement(row.model, demand, &avoid);
        self.cached_placements.insert((row.router, row.model));
        self.route(request);
    }

    pub(crate) fn at_worker(&mut self, request: usize, w: usize) {
        if self.requests[request].finished {
            return;
        }
        if !self.workers[w].up {
            self.requests[request].avoided_workers.insert(w);
            self.arrive(request);
            return;
        }
        let row = &self.rows[request];
        let name = &self.deployment.models[row.model].name;
        let worker = &mut self.workers[w];
        worker.history.observe(name, self.now_ms);
        worker.replicas[row.model].epoch += 1;
        let state = &mut self.requests[request];
        state.worker = Some(w);
        state.at_worker_ms = Some(self.now_ms);
        state.cold |= !worker.is_loaded(row.model);
        let wait_ms = self.wait_ms(w, request);
        let service_ms = self.workers[w].mean_service_ms();
        let deadline_ms = self.requests[request].deadline_ms;
        if self.now_ms + wait_ms + service_ms > deadline_ms {
            self.refuse(request, RefusalCode::DeadlineUnreachable);
            return;
        }
        self.enqueue(request, w, deadline_ms);
        self.dispatch(w);
    }

    /// Starts queued requests while the engine has capacity, and loads the
    /// models that the remaining ones need.
    pub(crate) fn dispatch(&mut self, w: usize) {
        while self.workers[w].running < self.deployment.engine_slots {
            let worker = &mut self.workers[w];
            let (rows, replicas) = (self.rows, &worker.replicas);
            let runnable =
                |request: &usize| replicas[rows[*request].model].state == ReplicaState::Loaded;
            let Some(entry) = worker.queue.pop(worker.running, runnable) else {
                break;
            };
            self.start_service(entry.item, w);
        }
        let waiting = self.workers[w].queue.iter();
        let models: HashSet<usize> = waiting.map(|entry| self.rows[entry.item].model).collect();
        let mut absent: Vec<usize> = models
            .into_iter()
            .filter(|&model| self.workers[w].replicas[model].state == ReplicaState::Absent)
            .collect();
        absent.sort_unstable();
        for model in absent {
            self.begin_load(w, model);
        }
    }

    pub(crate) fn expire(&mut self, request: usize) {
        let state = &self.requests[request];
        let Some(w) = state.worker else { return };
        if state.finished || state.started_ms.is_some() {
            return;
        }
        self.workers[w]
            .queue
            .remove_where(|entry| entry.item == request);
        self.refuse(request, RefusalCode::DeadlineUnreachable);
    }

    pub(crate) fn service_ended(&mut self, request: usize, w: usize, started_ms: u64) {
        let state = &self.requests[request];
        if state.finished || state.started_ms != Some(started_ms) || state.worker != Some(w) {
            return;
        }
        let row = &self.rows[request];
        let worker = &mut self.workers[w];
        worker.running -= 1;
        worker.replicas[row.model].in_use -= 1;
        worker.record_service_time(self.now_ms - started_ms);
        self.finish(request);
        self.dispatch(w);
        if self.workers[w].replicas[row.model].in_use == 0 {
            self.begin_idle(w, row.model);
        }
    }

    fn finish(&mut self, request: usize) {
        let deadline_ms = self.requests[request].deadline_ms;
        let answered_ms = self.now_ms + self.deployment.caller_latency_ms;
        if answered_ms > deadline_ms {
            self.refuse(request, RefusalCode::DeadlineExceeded);
            return;
        }
        let row = &self.rows[request];
        let state = &mut self.requests[request];
        state.finished = true;
        self.tally.answered += 1;
        if self.now_ms <= self.length_ms {
            self.tally.goodput_ms += row.service_ms;
        }
        *self
            .tally
            .goodput_by_tenant_ms
            .entry(row.caller)
            .or_default() += row.service_ms;
        *self.tally.answered_by_class.entry(row.class).or_default() += 1;
        self.tally.cold_waits_ms.push(state.cold_ms);
        if state.cold {
            self.tally.cold_starts_ms.push(state.cold_ms);
        }
        let first_ms = state.started_ms.unwrap_or(self.now_ms) + FIRST_TOKEN_MS;
        let first_ms = first_ms + self.deployment.caller_latency_ms;
        self.tally.first_tokens_ms.push(first_ms - state.arrived_ms);
    }

    fn start_service(&mut self, request: usize, w: usize) {
        let row = &self.rows[request];
        let mut service_ms = row.service_ms;
        if let Some(adapter) = row.adapter
            && self.workers[w].adapters.insert(adapter)
        {
            let slowdown = self.adapter_fetches.max(FULL_SPEED_FETCHES) / FULL_SPEED_FETCHES;
            service_ms += ADAPTER_FETCH_MS * slowdown;
        }
        self.count_idle_time(w, row.model);
        let worker = &mut self.workers[w];
        worker.running += 1;
        worker.replicas[row.model].in_use += 1;
        let state = &mut self.requests[request];
        state.started_ms = Some(self.now_ms);
        if state.cold {
            state.cold_ms = self.now_ms - state.at_worker_ms.unwrap_or(self.now_ms);
        }
        // The engine cancels a request at its deadline, less the answer's way to the caller.
        let stop_ms = state
            .deadline_ms
            .saturating_sub(self.deployment.caller_latency_ms)
            + 1;
        let ends_ms = (self.now_ms + service_ms).min(stop_ms.max(self.now_ms));
        let ended = Event::ServiceEnded {
            request,
            worker: w,
            started_ms: self.now_ms,
        };
        self.events.schedule(ends_ms, ended);
    }

    fn enqueue(&mut self, request: usize, w: usize, deadline_ms: u64) {
        let row = &self.rows[request];
        let tenant = &self.deployment.tenants[row.caller];
        let (class, queue_deadline_ms) = if self.policy.first_come {
            (chicorystage_api::inventory::Class::Standard, self.now_ms)
        } else {
            (row.class, deadline_ms)
        };
        let caller = if self.policy.first_come {
            self.deployment.tenants[0].name.clone()
        } else {
            tenant.name.clone()
        };
        let entry = Entry {
            class,
            caller,
            weight: tenant.weight,
            deadline_ms: queue_deadline_ms,
            queued_ms: self.now_ms,
            bytes: 1,
            suspect: false,
            item: request,
        };
        let rejected = match self.workers[w].queue.push(entry) {
            PushOutcome::Queued => Vec::new(),
            PushOutcome::Displaced(displaced) => displaced,
            PushOutcome::Full(entry) => vec![*entry],
        };
        for entry in rejected {
            self.refuse(entry.item, RefusalCode::Overloaded);
        }
        let service_ms = self.workers[w].mean_service_ms();
        let expires_ms = deadline_ms.saturating_sub(service_ms).max(self.now_ms);
        self.events.schedule(expires_ms, Event::Expire { request });
    }

    fn route(&mut self, request: usize) {
        if self.requests[request].finished {
            return;
        }
        let Some((w, wait_ms)) = self.best_slot(request) else {
            self.refuse(request, RefusalCode::NoPlacement);
            return;
        };
        let bytes = self.deployment.models[self.rows[request].model].memory_bytes;
        let new_slot_load_ms = load_ms(CacheTier::Remote, bytes, self.weight_store_slowdown());
        if wait_ms > 2 * new_slot_load_ms && !self.requests[request].requested_additional_slot {
            self.request_placement(request, true);
            return;
        }
        let at_ms = self.now_ms + self.deployment.zone_latency_ms;
        self.events
            .schedule(at_ms, Event::AtWorker { request, worker: w });
    }

    fn request_placement(&mut self, request: usize, additional: bool) {
        self.requests[request].requested_additional_slot |= additional;
        let at_ms = self.now_ms + 2 * self.deployment.zone_latency_ms + DECISION_MS;
        self.events.schedule(
            at_ms,
            Event::PlacementDecided {
                request,
                additional,
            },
        );
    }

    /// Returns the worker with the lowest estimated wait, and that wait in milliseconds.
    ///
    /// Considers only slots in state [`SlotState::Held`] on workers that have not
    /// failed this request; `None` where there are none.
    fn best_slot(&self, request: usize) -> Option<(usize, u64)> {
        let push = self.placements[self.rows[request].model].as_ref()?;
        let held = push
            .row
            .slots
            .iter()
            .filter(|slot| slot.state == SlotState::Held);
        let workers =
            held.filter_map(|slot| self.deployment.workers.iter().position(|vm| *vm == slot.vm));
        workers
            .filter(|w| !self.requests[request].avoided_workers.contains(w))
            .map(|w| (w, self.wait_ms(w, request)))
            .min_by_key(|(_, wait_ms)| *wait_ms)
    }

    /// Estimates how long a request waits at a worker, in milliseconds.
    ///
    /// The estimate is the longer of the remaining load time and the time to
    /// serve the requests ahead of it, which overlap.
    fn wait_ms(&self, w: usize, request: usize) -> u64 {
        let (row, worker) = (&self.rows[request], &self.workers[w]);
        let load_wait_ms = match worker.replicas[row.model].state {
            ReplicaState::Loaded => 0,
            ReplicaState::Loading { until_ms, .. } => until_ms.saturating_sub(self.now_ms),
            ReplicaState::Absent | ReplicaState::WaitingPermit { .. } => {
                let tier = tier_of_unloaded(&worker.caches, row.model, false);
                load_ms(
                    tier,
                    self.deployment.models[row.model].memory_bytes,
                    self.weight_store_slowdown(),
                )
            }
        };
        let tenant = &self.deployment.tenants[row.caller];
        let before = if self.policy.first_come {
            worker.queue.len() as u64
        } else {
            attempts_ahead(worker.queue.iter(), row.class, &tenant.name, tenant.weight)
        };
        let ahead = before + u64::from(worker.running);
        let slots = u64::from(self.deployment.engine_slots);
        let queue_ms = (ahead + 1).saturating_sub(slots) * worker.mean_service_ms() / slots;
        load_wait_ms.max(queue_ms)
    }
}
