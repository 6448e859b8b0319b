use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// An event of the simulation; indices refer to the trace's rows and the deployment's lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A request reaches its router.
    Arrive { request: usize },
    /// A placement decision for a request's model reaches the router.
    PlacementDecided { request: usize, additional: bool },
    /// A request reaches a worker.
    AtWorker { request: usize, worker: usize },
    /// The latest time at which a queued request can start and still meet its
    /// deadline, given the expected service time at enqueueing.
    Expire { request: usize },
    /// A worker asks, or asks again, for a load permit.
    PollPermit { worker: usize, model: usize },
    /// A load completes.
    LoadEnded {
        worker: usize,
        model: usize,
        ticket: u64,
    },
    /// An engine finishes a request, or cancels it at its deadline.
    ServiceEnded {
        request: usize,
        worker: usize,
        started_ms: u64,
    },
    /// An idle replica's keep-alive ends.
    KeepAliveExpired {
        worker: usize,
        model: usize,
        epoch: u64,
    },
    /// The time to load a replica ahead of an expected request.
    Prewarm {
        worker: usize,
        model: usize,
        epoch: u64,
    },
    /// A model gets its first slot, and its weights are cached on the slot's VM.
    SeedCache { model: usize },
    /// An availability zone fails for good.
    ZoneLost,
}

/// A priority queue of events, ordered by time and then by insertion.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    scheduled: u64,
}

impl EventQueue {
    pub(crate) fn schedule(&mut self, at_ms: u64, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at_ms, self.scheduled, event)));
    }

    pub(crate) fn pop(&mut self) -> Option<(u64, Event)> {
        let Reverse((at_ms, _, event)) = self.events.pop()?;
        Some((at_ms, event))
    }
}
