use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Something that happens at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A request reaches its router.
    Arrive { request: usize },
    /// A decision about a model's slots reaches the router.
    Placed { request: usize, additional: bool },
    /// A request reaches a worker.
    AtWorker { request: usize, worker: usize },
    /// A waiting request may be past saving.
    Expire { request: usize },
    /// A worker asks for a permit.
    PollPermit { worker: usize, model: usize },
    /// A load ended.
    LoadEnded {
        worker: usize,
        model: usize,
        ticket: u64,
    },
    /// A request's time on the engine ended.
    ServiceEnded {
        request: usize,
        worker: usize,
        started_ms: u64,
    },
    /// An idle replica's keep-alive ends.
    IdleEnds {
        worker: usize,
        model: usize,
        epoch: u64,
    },
    /// A replica should be loaded ahead of use.
    Prewarm {
        worker: usize,
        model: usize,
        epoch: u64,
    },
    /// A model gets its first slot, and its weights go to the slot's VM.
    Seed { model: usize },
    /// An availability zone is lost.
    ZoneLost,
}

/// Events in the order of their time, then of their making.
#[derive(Debug, Default)]
pub(crate) struct Agenda {
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    made: u64,
}

impl Agenda {
    pub(crate) fn add(&mut self, at_ms: u64, event: Event) {
        self.made += 1;
        self.events.push(Reverse((at_ms, self.made, event)));
    }

    pub(crate) fn next(&mut self) -> Option<(u64, Event)> {
        let Reverse((at_ms, _, event)) = self.events.pop()?;
        Some((at_ms, event))
    }
}
