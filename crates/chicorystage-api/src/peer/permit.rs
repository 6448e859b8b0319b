use serde::{Deserialize, Serialize};

use crate::inventory::Class;
use crate::name::VmId;

/// What a permit allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PermitKind {
    /// Fetching a model's weights from the weight store.
    Model,
    /// Fetching an adapter.
    Adapter,
}

/// Asks the permit holder for permission to fetch weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// VM that will fetch.
    pub vm: VmId,
    /// Number chosen by the asker, unique on its VM; a repeat is the same request.
    pub ticket: u64,
    /// What is fetched.
    pub kind: PermitKind,
    /// Highest class that waits for it.
    pub class: Class,
    /// Time left until the earliest deadline that waits, in milliseconds.
    pub time_left_ms: u64,
}

/// Answer to a [`PermitRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum PermitAnswer {
    /// The fetch may start.
    Granted {
        /// Identity for the release.
        permit_id: u64,
        /// Time after which the permit lapses, in milliseconds.
        expires_in_ms: u64,
    },
    /// The asker should ask again.
    Wait {
        /// Delay before asking again, in milliseconds.
        retry_in_ms: u64,
    },
    /// Another router hands out permits.
    Elsewhere {
        /// VM of that router.
        holder: VmId,
    },
}
