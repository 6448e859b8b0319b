use std::collections::HashSet;

use chicorystage_api::peer::PlacementPush;
use chicorystage_api::refusal::RefusalCode;
use chicorystage_core::permit::PermitDesk;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::replay::sim::agenda::{Agenda, Event};
use crate::replay::sim::caches::Caches;
use crate::replay::sim::flight::Flight;
use crate::replay::sim::tally::Tally;
use crate::replay::sim::worker::{ReplicaState, Worker};
use crate::replay::{Deployment, Faults, Policy, TraceRow};

/// Seed of the random choices that are not in the trace: initial disk caches and random placement.
const WORLD_SEED: u64 = 3;
/// Interval at which models get their first slots, in milliseconds.
const SEED_INTERVAL_MS: usize = 250;
/// Probability that a model's weights are on a worker's disk at the start.
const ON_DISK_CHANCE: f64 = 0.1;

/// State of the discrete event simulation of one trace under one policy.
#[derive(Debug)]
pub(crate) struct World<'a> {
    pub(crate) deployment: &'a Deployment,
    pub(crate) policy: &'a Policy,
    pub(crate) faults: &'a Faults,
    pub(crate) rows: &'a [TraceRow],
    pub(crate) weight_percent: u32,
    pub(crate) length_ms: u64,
    pub(crate) now_ms: u64,
    pub(crate) agenda: Agenda,
    pub(crate) flights: Vec<Flight>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) placements: Vec<Option<PlacementPush>>,
    pub(crate) known: HashSet<(usize, usize)>,
    pub(crate) table_version: u64,
    pub(crate) desk: PermitDesk,
    pub(crate) tickets: u64,
    pub(crate) fetching: u64,
    pub(crate) adapters_fetching: u64,
    pub(crate) rng: StdRng,
    pub(crate) tally: Tally,
}

impl<'a> World<'a> {
    pub(crate) fn new(
        deployment: &'a Deployment,
        policy: &'a Policy,
        faults: &'a Faults,
        rows: &'a [TraceRow],
        weight_percent: u32,
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(WORLD_SEED);
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
            weight_percent,
            length_ms: 0,
            now_ms: 0,
            agenda: Agenda::default(),
            flights: vec![Flight::default(); rows.len()],
            workers,
            placements: vec![None; models],
            known: HashSet::new(),
            table_version: 0,
            desk: PermitDesk::new(0),
            tickets: 0,
            fetching: 0,
            adapters_fetching: 0,
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
            self.agenda.add(at_ms, Event::Arrive { request });
        }
        if self.policy.seeds_caches {
            for (model, at_ms) in
                (0..self.deployment.models.len()).zip((0..).step_by(SEED_INTERVAL_MS))
            {
                self.agenda.add(at_ms, Event::Seed { model });
            }
        }
        if let Some(at_ms) = self.faults.zone_lost_at_ms {
            self.agenda.add(at_ms, Event::ZoneLost);
        }
        let mut left = self.rows.len();
        while let Some((at_ms, event)) = self.agenda.next() {
            if left == 0 && at_ms >= length_ms {
                break;
            }
            self.now_ms = at_ms;
            self.on_event(event);
            left = self.rows.len() - usize::try_from(self.settled()).unwrap_or(usize::MAX);
        }
        self.now_ms = self.now_ms.max(length_ms);
        self.count_remaining_idle();
        self.tally
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrive { request } => self.arrive(request),
            Event::Placed {
                request,
                additional,
            } => self.placed(request, additional),
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
            Event::IdleEnds {
                worker,
                model,
                epoch,
            } => self.idle_ends(worker, model, epoch),
            Event::Prewarm {
                worker,
                model,
                epoch,
            } => self.prewarm(worker, model, epoch),
            Event::Seed { model } => self.seed(model),
            Event::ZoneLost => self.zone_lost(),
        }
    }

    fn settled(&self) -> u64 {
        self.tally.answered + self.tally.late + self.tally.refusals.values().sum::<u64>()
    }

    /// Ends a request with a refusal; does nothing where it has already finished.
    pub(crate) fn refuse(&mut self, request: usize, code: RefusalCode) {
        let flight = &mut self.flights[request];
        if flight.settled {
            return;
        }
        flight.settled = true;
        if flight.cold {
            // Counts the whole timeout, so that refusing cold requests cannot lower the p99.
            let row = &self.rows[request];
            self.tally.cold_waits_ms.push(row.timeout_ms);
        } else {
            self.tally.cold_waits_ms.push(0);
        }
        if self.now_ms > flight.deadline_ms {
            self.tally.late += 1;
        } else {
            self.tally.refuse(code);
        }
    }

    fn zone_lost(&mut self) {
        let zones = self.deployment.zones.len();
        for w in (0..self.workers.len()).filter(|w| w % zones == self.faults.zone_lost) {
            self.lose_worker(w);
        }
    }

    fn lose_worker(&mut self, w: usize) {
        for model in 0..self.deployment.models.len() {
            self.end_idle(w, model);
            if let ReplicaState::Loading { permit, .. } = self.workers[w].replicas[model].state {
                self.return_permit(permit);
            }
            self.workers[w].replicas[model].state = ReplicaState::Absent;
            self.workers[w].replicas[model].in_use = 0;
        }
        self.workers[w].up = false;
        self.workers[w].running = 0;
        self.workers[w].queue.take_where(|_| true);
        let lost = self.flights.iter().enumerate();
        let lost = lost.filter(|(_, flight)| flight.worker == Some(w) && !flight.settled);
        for request in lost.map(|(i, _)| i).collect::<Vec<_>>() {
            let flight = &mut self.flights[request];
            flight.avoid.insert(w);
            flight.worker = None;
            flight.started_ms = None;
            let again_ms = self.now_ms + self.deployment.zone_latency_ms;
            self.agenda.add(again_ms, Event::Arrive { request });
        }
    }
}
