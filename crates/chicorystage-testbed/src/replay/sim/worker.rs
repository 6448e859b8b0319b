use std::collections::HashSet;

use chicorystage_core::keep_alive::KeepAlive;
use chicorystage_core::queue::Queue;

use crate::replay::sim::caches::Caches;

/// Most requests that may wait at a worker.
const QUEUE_MAX: u32 = 256;
/// Most bytes of requests that may wait at a worker.
const QUEUE_BYTES_MAX: u64 = 1 << 30;
/// Initial estimate of the service time, before any request is served, in milliseconds.
const INITIAL_SERVICE_MS: u64 = 4_000;
/// Smoothing of the service time's exponentially weighted average: a new
/// sample weighs one part in this many.
const SMOOTHING: u64 = 8;

/// Load state of a model on a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ReplicaState {
    #[default]
    Absent,
    WaitingPermit {
        ticket: u64,
    },
    Loading {
        ticket: u64,
        until_ms: u64,
        permit: Option<u64>,
    },
    Loaded,
}

/// A model on a worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Replica {
    pub(crate) state: ReplicaState,
    pub(crate) in_use: u32,
    pub(crate) idle_since_ms: u64,
    /// Number of requests for the model so far; timers set in an earlier epoch do nothing.
    pub(crate) epoch: u64,
    pub(crate) loads_ms: Vec<u64>,
    pub(crate) prewarmed: bool,
    pub(crate) seeding_cache: bool,
}

/// State of one worker: its agent and its engine.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) up: bool,
    pub(crate) memory_free_bytes: u64,
    pub(crate) replicas: Vec<Replica>,
    pub(crate) adapters: HashSet<usize>,
    pub(crate) queue: Queue<usize>,
    pub(crate) running: u32,
    pub(crate) history: KeepAlive,
    pub(crate) caches: Caches,
    mean_service_ms: u64,
}

impl Worker {
    pub(crate) fn new(models: usize, memory_bytes: u64, caches: Caches) -> Self {
        Self {
            up: true,
            memory_free_bytes: memory_bytes,
            replicas: vec![Replica::default(); models],
            adapters: HashSet::new(),
            queue: Queue::new(QUEUE_MAX, QUEUE_BYTES_MAX),
            running: 0,
            history: KeepAlive::new(),
            caches,
            mean_service_ms: INITIAL_SERVICE_MS,
        }
    }

    pub(crate) fn is_loaded(&self, model: usize) -> bool {
        self.replicas[model].state == ReplicaState::Loaded
    }

    /// Returns the smoothed service time, in milliseconds.
    pub(crate) fn mean_service_ms(&self) -> u64 {
        self.mean_service_ms
    }

    pub(crate) fn record_service_time(&mut self, service_ms: u64) {
        self.mean_service_ms = (self.mean_service_ms * (SMOOTHING - 1) + service_ms) / SMOOTHING;
    }
}
