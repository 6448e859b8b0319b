use serde::{Deserialize, Serialize};

use crate::name::{Digest, VmId};
use crate::refusal::Refusal;

/// One decision or event of a traced request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceStep {
    /// Time since the request arrived, in milliseconds.
    pub at_ms: u64,
    /// What happened.
    pub event: TraceEvent,
}

/// What happened in one step of a traced request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum TraceEvent {
    /// The inventory allows the request.
    Admitted {
        /// Inventory revision that allowed it.
        revision: u64,
        /// Digest of the work.
        digest: Digest,
    },
    /// An endpoint was chosen.
    Chosen {
        /// Number of the attempt.
        attempt: u32,
        /// VM of the endpoint.
        vm: VmId,
        /// Estimated wait there, in milliseconds.
        estimated_wait_ms: u64,
        /// Whether the work must run alone.
        suspect: bool,
    },
    /// The answer began.
    Begun {
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt failed.
    Failed {
        /// Number of the attempt.
        attempt: u32,
        /// Why.
        refusal: Refusal,
    },
    /// Another attempt follows.
    Retried {
        /// Pause before it, in milliseconds.
        pause_ms: u64,
    },
    /// No further attempt follows, though the failure would allow one.
    NotRetried {
        /// Whether the router's retry budget was spent; else the attempts were.
        budget_spent: bool,
    },
}
