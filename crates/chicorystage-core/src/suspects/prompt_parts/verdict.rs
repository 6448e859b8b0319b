use crate::suspects::prompt_parts::{Candidate, Culprit};

/// What crashes of endpoints tell of their cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A prompt part causes them.
    Cause(Culprit),
    /// No part is known to; the parts in most crashes, and of parts in equally many the likeliest first.
    Undecided(Vec<Candidate>),
}
