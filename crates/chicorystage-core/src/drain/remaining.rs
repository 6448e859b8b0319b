/// Work and resources that a draining agent has not completed or released.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Remaining {
    /// Number of running attempts.
    pub running: usize,
    /// Number of attempts that wait for a free batch slot.
    pub queued: usize,
    /// Number of replicas that are loaded, loading, unloading or in an unresolved state.
    pub replicas: usize,
    /// Number of slots that are granted to the VM or being revoked.
    pub slots: usize,
}

impl Remaining {
    /// Returns whether accepted attempts remain.
    #[must_use]
    pub fn has_work(&self) -> bool {
        self.running > 0 || self.queued > 0
    }

    /// Returns whether no work and no resource remains.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
