/// What is held against a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing.
    Clear,
    /// Its endpoint died once while it ran: it must run alone.
    Suspect,
    /// Its endpoint died while it ran alone: it is refused.
    Quarantined,
}
