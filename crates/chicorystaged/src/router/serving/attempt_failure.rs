use chicorystage_api::refusal::{Outcome, Refusal, RefusalCode};

/// An attempt that gave no whole answer.
#[derive(Clone, Debug)]
pub(crate) struct AttemptFailure {
    /// What the caller is told where the request ends with it.
    pub(crate) refusal: Refusal,
    /// Whether the agent saw its endpoint die while it ran the attempt.
    pub(crate) crashed: bool,
    /// Whether the agent gave the attempt up, and not its connection.
    pub(crate) by_agent: bool,
}

impl AttemptFailure {
    /// Creates the failure of an attempt that the router itself gave up.
    pub(crate) fn lost(refusal: Refusal) -> Self {
        Self {
            refusal,
            crashed: false,
            by_agent: false,
        }
    }

    /// Creates the failure of an attempt that its agent refused.
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

    /// Returns whether the agent gave no answer, though there was time for one.
    pub(crate) fn is_unanswered(&self) -> bool {
        !self.by_agent && self.refusal.code != RefusalCode::DeadlineExceeded
    }

    /// Returns whether another endpoint may do better.
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

    /// Returns whether the attempt was only sent to the wrong place, at no cost.
    pub(crate) fn is_detour(&self) -> bool {
        matches!(
            self.refusal.code,
            RefusalCode::Leaving | RefusalCode::NotPlaced
        )
    }
}
