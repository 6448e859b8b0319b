use chicorystage_api::refusal::{Outcome, Refusal};

/// An attempt that gave no whole answer.
#[derive(Clone, Debug)]
pub(crate) struct AttemptFailure {
    /// What the caller is told where the request ends with it.
    pub(crate) refusal: Refusal,
}

impl AttemptFailure {
    /// Creates the failure of an attempt that the router itself gave up.
    pub(crate) fn lost(refusal: Refusal) -> Self {
        Self { refusal }
    }

    /// Creates the failure of an attempt that its agent refused.
    pub(crate) fn refused(refusal: Refusal) -> Self {
        Self { refusal }
    }

    /// Returns whether the attempt certainly had no effect.
    pub(crate) fn not_run(&self) -> bool {
        self.refusal.outcome == Outcome::NotRun
    }
}
