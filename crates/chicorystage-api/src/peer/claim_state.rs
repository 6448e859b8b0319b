use serde::{Deserialize, Serialize};

use crate::peer::AttemptRef;

/// State of a claim at the agent that may run it.
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
    /// The epoch was never received and will be refused from now on: the call did not run.
    Tombstoned,
    /// The call ran or may have run, and its answer is no longer available.
    Unknown,
    /// The agent's incarnation is not the one that the claim names.
    OtherIncarnation {
        /// Incarnation of the agent that answers.
        incarnation: u64,
    },
}
