use std::collections::HashSet;

use chicorystage_api::peer::PlacementPush;
use chicorystage_api::refusal::RefusalCode;
use chicorystage_core::permit::PermitLimiter;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::replay::sim::caches::Caches;
use crate::replay::sim::event_queue::{Event, EventQueue};
use crate::replay::sim::request_state::RequestState;
use crate::replay::sim::tally::Tally;
use crate::replay::sim::worker::{ReplicaState, Worker};
use crate::replay::{Deployment, Faults, Policy, TraceRow};

/// Seed of the random choices that are not in the trace: initial disk caches and random placement.
const SIMULATION_SEED: u64 = 3;
/// Interval at which models get their first slots, in milliseconds.
const SEED_INTERVAL_MS: usize = 250;
/// Probability that a model's weights are on a worker's disk at the start.
const ON_DISK_CHANCE: f64 = 0.1;

/// State of the discrete event simulation of one trace under one policy.
#[derive(Debug)]
pub(crate) struct Simulation<'a> {
    pub(crate) deployment: &'a Deployment,
    pub(crate) policy: &'a Policy,
    pub(crate) faults: &'a Faults,
    pub(crate) rows: &'a [TraceRow],
    pub(crate) cold_start_weight_percent: u32,
    pub(crate) length_ms: u64,
    pub(crate) now_ms: u64,
    pub(crate) events: EventQueue,
    pub(crate) requests: Vec<RequestState>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) placements: Vec<Option<PlacementPush>>,
    pub(crate) cached_placements: HashSet<(usize, usize)>,
    pub(crate) table_version: u64,
    pub(crate) permit_limiter: PermitLimiter,
    pub(crate) last_ticket: u64,
    pub(crate) weight_store_loads: u64,
    pub(crate) adapter_fetches: u64,
    pub(crate) rng: StdRng,
    pub(crate) tally: Tally,
}

impl<'a> Simulation<'a> {
    pub(crate) fn new(
        deployment: &'a Deployment,
        policy: &'a Policy,
        faults: &'a Faults,
        rows: &'a [TraceRow],
        cold_start_weight_percent: u32,
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(SIMULATION_SEED);
        let models = deployment.models.len();
        let mut worker = || {
            let disk = (0..models).map(|_| rng.random_bool(ON_DISK_CHANCE));
            let caches = Caches::new(deployment.cache_bytes, disk.collect());
            Worker::new(models, deployment.memory_bytes, caches)
        };
        let workers = deployment.workers.iter().map(|_| worker()).collect();
        Self {
            deployment,
            policy,
            faults,
            rows,
            cold_start_weight_percent,
            length_ms: 0,
            now_ms: 0,
            events: EventQueue::default(),
            requests: vec![RequestState::default(); rows.len()],
            workers,
            placements: vec![None; models],
            cached_placements: HashSet::new(),
            table_version: 0,
            permit_limiter: PermitLimiter::new(0),
            last_ticket: 0,
            weight_store_loads: 0,
            adapter_fetches: 0,
            rng,
            tally: Tally::default(),
        }
    }

    /// Runs the simulation until every request has finished and the trace's length has passed.
    ///
    /// Events may run out before that; requests that then have no outcome count
    /// as late in the report.
    pub(crate) fn run(mut self, length_ms: u64) -> Tally {
        self.length_ms = length_ms;
        for (request, row) in self.rows.iter().enumerate() {
            let at_ms = row.at_ms + self.deployment.caller_latency_ms;
            self.events.schedule(at_ms, Event::Arrive { request });
        }
        if self.policy.seeds_caches {
            for (model, at_ms) in
                (0..self.deployment.models.len()).zip((0..).step_by(SEED_INTERVAL_MS))
            {
                self.events.schedule(at_ms, Event::SeedCache { model });
            }
        }
        if let Some(at_ms) = self.faults.zone_lost_at_ms {
            self.events.schedule(at_ms, Event::ZoneLost);
        }
        let mut unfinished = self.rows.len();
        while let Some((at_ms, event)) = self.events.pop() {
            if unfinished == 0 && at_ms >= length_ms {
                break;
            }
            self.now_ms = at_ms;
            self.on_event(event);
            unfinished =
                self.rows.len() - usize::try_from(self.finished_count()).unwrap_or(usize::MAX);
        }
        self.now_ms = self.now_ms.max(length_ms);
        self.count_remaining_idle_time();
        self.tally
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrive { request } => self.arrive(request),
            Event::PlacementDecided {
                request,
                additional,
            } => self.placement_decided(request, additional),
            Event::AtWorker { request, worker } => self.at_worker(request, worker),
            Event::Expire { request } => self.expire(request),
            Event::PollPermit { worker, model } => self.poll_permit(worker, model),
            Event::LoadEnded {
                worker,
                model,
                ticket,
            } => self.load_ended(worker, model, ticket),
            Event::ServiceEnded {
                request,
                worker,
                started_ms,
            } => self.service_ended(request, worker, started_ms),
            Event::KeepAliveExpired {
                worker,
                model,
                epoch,
            } => self.keep_alive_expired(worker, model, epoch),
            Event::Prewarm {
                worker,
                model,
                epoch,
            } => self.prewarm(worker, model, epoch),
            Event::SeedCache { model } => self.seed_cache(model),
            Event::ZoneLost => self.fail_zone(),
        }
    }

    fn finished_count(&self) -> u64 {
        self.tally.answered + self.tally.late + self.tally.refusals.values().sum::<u64>()
    }

    /// Ends a request with a refusal; does nothing where it has already finished.
    pub(crate) fn refuse(&mut self, request: usize, code: RefusalCode) {
        let state = &mut self.requests[request];
        if state.finished {
            return;
        }
        state.finished = true;
        if state.cold {
            // Counts the whole timeout, so that refusing cold requests cannot lower the p99.
            let row = &self.rows[request];
            self.tally.cold_waits_ms.push(row.timeout_ms);
        } else {
            self.tally.cold_waits_ms.push(0);
        }
        if self.now_ms > state.deadline_ms {
            self.tally.late += 1;
        } else {
            self.tally.refuse(code);
        }
    }

    fn fail_zone(&mut self) {
        let zones = self.deployment.zones.len();
        for w in (0..self.workers.len()).filter(|w| w % zones == self.faults.zone_lost) {
            self.fail_worker(w);
        }
    }

    fn fail_worker(&mut self, w: usize) {
        for model in 0..self.deployment.models.len() {
            self.count_idle_time(w, model);
            if let ReplicaState::Loading { permit, .. } = self.workers[w].replicas[model].state {
                self.release_permit(permit);
            }
            self.workers[w].replicas[model].state = ReplicaState::Absent;
            self.workers[w].replicas[model].in_use = 0;
        }
        self.workers[w].up = false;
        self.workers[w].running = 0;
        self.workers[w].queue.remove_where(|_| true);
        let interrupted = self.requests.iter().enumerate();
        let interrupted =
            interrupted.filter(|(_, state)| state.worker == Some(w) && !state.finished);
        for request in interrupted.map(|(i, _)| i).collect::<Vec<_>>() {
            let state = &mut self.requests[request];
            state.avoided_workers.insert(w);
            state.worker = None;
            state.started_ms = None;
            let again_ms = self.now_ms + self.deployment.zone_latency_ms;
            self.events.schedule(again_ms, Event::Arrive { request });
        }
    }
}
