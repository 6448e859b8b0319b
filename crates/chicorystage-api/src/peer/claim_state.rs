use serde::{Deserialize, Serialize};

use crate::peer::AttemptRef;

/// What an agent knows of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ClaimState {
    /// The call is running; its frames can be resumed from offset 0.
    Running {
        /// Attempt that runs it.
        attempt: AttemptRef,
    },
    /// The call has finished; its frames can be resumed from offset 0.
    Finished {
        /// Attempt that ran it.
        attempt: AttemptRef,
    },
    /// The epoch never arrived and is now refused for good: it did not run.
    Tombstoned,
    /// The call ran or may have run, and its answer is no longer known.
    Unknown,
    /// The agent is not the incarnation that the claim names.
    OtherIncarnation {
        /// Incarnation that answers.
        incarnation: u64,
    },
}
