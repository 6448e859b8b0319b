/// Status of a digest, which decides how its requests may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DigestStatus {
    /// The digest is neither suspected nor quarantined.
    Clear,
    /// An endpoint crashed while it ran the digest among others: the digest must run alone.
    Suspect,
    /// An endpoint crashed while it ran the digest alone: requests with the digest are refused.
    Quarantined,
}
