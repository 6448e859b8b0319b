use crate::fence::{FenceStep, FenceView};

/// Decides when an agent may send orders to its engine.
#[derive(Clone, Debug)]
pub struct Fence {
    start_ms: u64,
    engine_run: Option<u64>,
    number: u64,
    is_open: bool,
    has_successor: bool,
}

impl Fence {
    /// Creates a closed fence for an agent that started at `start_ms`.
    #[must_use]
    pub fn new(start_ms: u64) -> Self {
        Self {
            start_ms,
            engine_run: None,
            number: 0,
            is_open: false,
            has_successor: false,
        }
    }

    /// Returns the fencing token under which orders may be sent now; `None` if none may be sent.
    #[must_use]
    pub fn number(&self) -> Option<u64> {
        self.is_open.then_some(self.number)
    }

    /// Returns whether a later agent of this VM has taken over; this is final.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.has_successor
    }

    /// Applies a status of the engine and returns the agent's next step.
    pub fn on_status(&mut self, view: &FenceView) -> FenceStep {
        if self.has_successor {
            return FenceStep::Superseded;
        }
        if self.engine_run != Some(view.engine_run) {
            self.restart(view);
        }
        if view.fence_enforced && view.fence_highest > self.number {
            self.is_open = false;
            self.has_successor = true;
            return FenceStep::Superseded;
        }
        if self.is_open {
            return FenceStep::Open(self.number);
        }
        // The token is above every earlier one, so only this agent can have sent it.
        let is_token_shown = view.fence_enforced && view.fence_highest == self.number;
        if is_token_shown || self.none_in_flight(view) {
            self.is_open = true;
            return FenceStep::Open(self.number);
        }
        if view.fence_enforced {
            return FenceStep::Raise(self.number);
        }
        FenceStep::Wait
    }

    fn restart(&mut self, view: &FenceView) {
        self.engine_run = Some(view.engine_run);
        self.number = view
            .unix_ms
            .max(view.fence_highest + 1)
            .max(self.number + 1);
        self.is_open = false;
    }

    /// Returns whether the status was requested when no earlier agent's order could be in flight.
    fn none_in_flight(&self, view: &FenceView) -> bool {
        view.begun_ms > self.start_ms.saturating_add(view.order_in_flight_max_ms)
    }
}
