use chicorystage_api::refusal::{Outcome, Refusal, RefusalCode};

/// The failure of an attempt that produced no complete answer.
#[derive(Clone, Debug)]
pub(crate) struct AttemptFailure {
    /// Refusal that the caller receives if no further attempt follows.
    pub(crate) refusal: Refusal,
    /// Whether the agent reported that its endpoint crashed while it ran the attempt.
    pub(crate) crashed: bool,
    /// Whether the agent ended the attempt, as opposed to a failed connection or deadline.
    pub(crate) by_agent: bool,
}

impl AttemptFailure {
    /// Creates the failure of an attempt that the router abandoned without the agent's answer.
    pub(crate) fn lost(refusal: Refusal) -> Self {
        Self {
            refusal,
            crashed: false,
            by_agent: false,
        }
    }

    /// Creates the failure of an attempt that its agent refused, before or after it began.
    pub(crate) fn refused(refusal: Refusal) -> Self {
        let crashed = refusal.code == RefusalCode::EndpointLost;
        Self {
            refusal,
            crashed,
            by_agent: true,
        }
    }

    /// Returns whether the attempt certainly had no effect.
    pub(crate) fn not_run(&self) -> bool {
        self.refusal.outcome == Outcome::NotRun
    }

    /// Returns whether the attempt was lost before the deadline without an answer by the agent.
    pub(crate) fn is_unanswered(&self) -> bool {
        !self.by_agent && self.refusal.code != RefusalCode::DeadlineExceeded
    }

    /// Returns whether a retry on another endpoint may succeed.
    pub(crate) fn is_transient(&self) -> bool {
        matches!(
            self.refusal.code,
            RefusalCode::NoEndpoint
                | RefusalCode::Leaving
                | RefusalCode::NotPlaced
                | RefusalCode::MemoryFull
                | RefusalCode::LoadFailed
                | RefusalCode::Overloaded
                | RefusalCode::EndpointLost
                | RefusalCode::ResultUnknown
        )
    }

    /// Returns whether the attempt was sent to a VM that is leaving or does not hold the slot.
    ///
    /// Such an attempt cost the endpoint no work.
    pub(crate) fn is_misrouted(&self) -> bool {
        matches!(
            self.refusal.code,
            RefusalCode::Leaving | RefusalCode::NotPlaced
        )
    }
}
