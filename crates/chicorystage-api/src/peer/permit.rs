use serde::{Deserialize, Serialize};

use crate::inventory::Class;
use crate::name::VmId;

/// Kind of fetch that a permit allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PermitKind {
    /// Fetch of a model's weights from the weight store.
    Model,
    /// Fetch of an adapter from the weight store.
    Adapter,
}

/// A request for a permit to fetch weights, sent to the router that issues permits.
///
/// The sender repeats the request until a permit is granted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// VM that requests the permit.
    pub vm: VmId,
    /// Number chosen by the sender, unique on its VM; a repeated request carries the same number.
    pub ticket: u64,
    /// Kind of the fetch.
    pub kind: PermitKind,
    /// Highest priority class among the requests that wait for the fetch.
    pub class: Class,
    /// Time left until the earliest deadline of the requests that wait, in milliseconds.
    pub time_left_ms: u64,
}

/// Answer to a [`PermitRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum PermitAnswer {
    /// The fetch may start.
    Granted {
        /// Identifier with which to release the permit.
        permit_id: u64,
        /// Time after which the permit expires, in milliseconds.
        expires_in_ms: u64,
    },
    /// No permit is available; the sender should repeat the request.
    Wait {
        /// Delay before the repeat, in milliseconds.
        retry_in_ms: u64,
    },
    /// Another router issues the permits.
    Elsewhere {
        /// VM of that router.
        holder: VmId,
    },
}
