use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Priority class of a request; the class that compares lowest is served first.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Work whose user waits for a short answer.
    #[display("interactive")]
    Interactive,
    /// Ordinary work with a deadline.
    #[display("standard")]
    Standard,
    /// Work that is shed first.
    #[display("batch")]
    Batch,
}

impl Class {
    /// Every class, highest priority first.
    pub const ALL: [Self; 3] = [Self::Interactive, Self::Standard, Self::Batch];

    /// Returns the class of that name; `None` if there is none.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "interactive" => Some(Self::Interactive),
            "standard" => Some(Self::Standard),
            "batch" => Some(Self::Batch),
            _ => None,
        }
    }
}
