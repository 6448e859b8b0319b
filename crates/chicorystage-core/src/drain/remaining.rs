/// What a leaving agent still holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Remaining {
    /// Attempts that run.
    pub running: usize,
    /// Attempts that wait for a free batch slot.
    pub queued: usize,
    /// Replicas that are loaded, loading, unloading or unsettled.
    pub replicas: usize,
    /// Slots that are held or being revoked.
    pub slots: usize,
}

impl Remaining {
    /// Returns whether accepted work is left.
    #[must_use]
    pub fn has_work(&self) -> bool {
        self.running > 0 || self.queued > 0
    }

    /// Returns whether nothing is left.
    #[must_use]
    pub fn is_nothing(&self) -> bool {
        *self == Self::default()
    }
}
