use crate::fence::{FenceStatus, FenceStep};

/// Decides when an agent may send orders to its engine.
#[derive(Clone, Debug)]
pub struct Fence {
    start_ms: u64,
    engine_run: Option<u64>,
    token: u64,
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
            token: 0,
            is_open: false,
            has_successor: false,
        }
    }

    /// Returns the fencing token under which orders may be sent now; `None` if none may be sent.
    #[must_use]
    pub fn token(&self) -> Option<u64> {
        self.is_open.then_some(self.token)
    }

    /// Returns whether a later agent of this VM has taken over; this is final.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.has_successor
    }

    /// Applies a status of the engine and returns the agent's next step.
    pub fn on_status(&mut self, status: &FenceStatus) -> FenceStep {
        if self.has_successor {
            return FenceStep::Superseded;
        }
        if self.engine_run != Some(status.engine_run) {
            self.restart(status);
        }
        if status.fence_enforced && status.fence_highest > self.token {
            self.is_open = false;
            self.has_successor = true;
            return FenceStep::Superseded;
        }
        if self.is_open {
            return FenceStep::Open(self.token);
        }
        // The token is above every earlier one, so only this agent can have sent it.
        let is_token_shown = status.fence_enforced && status.fence_highest == self.token;
        if is_token_shown || self.none_in_flight(status) {
            self.is_open = true;
            return FenceStep::Open(self.token);
        }
        if status.fence_enforced {
            return FenceStep::Raise(self.token);
        }
        FenceStep::Wait
    }

    fn restart(&mut self, status: &FenceStatus) {
        self.engine_run = Some(status.engine_run);
        self.token = status
            .unix_ms
            .max(status.fence_highest + 1)
            .max(self.token + 1);
        self.is_open = false;
    }

    /// Returns whether the status was requested when no earlier agent's order could be in flight.
    fn none_in_flight(&self, status: &FenceStatus) -> bool {
        status.requested_ms > self.start_ms.saturating_add(status.order_in_flight_max_ms)
    }
}
