use serde::{Deserialize, Serialize};

use crate::name::{Digest, VmId};
use crate::refusal::Refusal;

/// One decision or event of a traced request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceStep {
    /// Time since the request arrived, in milliseconds.
    pub at_ms: u64,
    /// The decision or event.
    pub event: TraceEvent,
}

/// A decision or event of a traced request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum TraceEvent {
    /// The inventory in force allows the request.
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
        /// Estimated wait at that endpoint, in milliseconds.
        estimated_wait_ms: u64,
        /// Whether the work is suspected of crashing endpoints and must run alone.
        suspect: bool,
    },
    /// The first part of the answer arrived.
    Begun {
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt failed.
    Failed {
        /// Number of the attempt.
        attempt: u32,
        /// Reason of the failure.
        refusal: Refusal,
    },
    /// Another attempt follows after a pause.
    Retried {
        /// Pause before the next attempt, in milliseconds.
        pause_ms: u64,
    },
    /// No further attempt follows, although the failure would allow a retry.
    NotRetried {
        /// Whether the router's retry budget was exhausted; if not, the limit of attempts was reached.
        budget_spent: bool,
    },
}
