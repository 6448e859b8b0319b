/// What a router may claim of the lease after the store has returned from an older copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClaimAfterRestore {
    /// The store has not returned, or this router has written the lease since.
    Normal,
    /// This router held an unexpired lease, so no other one can hold it.
    Kept {
        /// Epoch of the lease.
        epoch: u64,
        /// Time at which it expires, in milliseconds.
        until_ms: u64,
    },
    /// Another router may have held the lease under an epoch that the copy lacks. The lease must
    /// not change for its whole duration before this router acquires it, even if the copy names
    /// this router.
    Suspended,
}
