use crate::deployment::Route;
use crate::latency::{LateCause, WaitTimes};

/// Times of one answer, measured at the router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerTimes {
    /// Waits before the first event, or before the answer if it does not consist of events.
    pub waits: WaitTimes,
    /// Time from the arrival of the request to the first event or the whole answer, in
    /// milliseconds.
    pub first_ms: u64,
    /// Longest pause between two events, in milliseconds.
    pub pause_max_ms: u64,
}

impl AnswerTimes {
    /// Returns the cause of an answer that misses the route's objectives; `None` if it meets them.
    ///
    /// A late first event goes before pauses after it.
    #[must_use]
    pub fn late_cause(&self, route: &Route) -> Option<LateCause> {
        if self.first_ms > route.objective_ms {
            return Some(self.first_event_cause());
        }
        let may_pause = route.pause_objective_ms == 0;
        (!may_pause && self.pause_max_ms > route.pause_objective_ms).then_some(LateCause::Pause)
    }

    fn first_event_cause(&self) -> LateCause {
        let endpoint_ms = self.first_ms.saturating_sub(self.waits.total_ms());
        match self.waits.longest() {
            Some((reason, wait_ms)) if wait_ms > endpoint_ms => LateCause::Wait(reason),
            _ => LateCause::Endpoint,
        }
    }
}
