use serde::{Deserialize, Serialize};

use crate::inventory::Class;
use crate::name::{CallerName, Digest, RequestId};
use crate::work::{ClaimTicket, SlotGrant, WorkSpec};

/// One attempt to run a request at one endpoint, sent by a router to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRequest {
    /// Request that the attempt belongs to.
    pub request_id: RequestId,
    /// Number of the attempt, counted from 1 within the request.
    pub attempt: u32,
    /// Caller who sent the request.
    pub caller: CallerName,
    /// Weight of the caller's share of the capacity under overload.
    pub weight: u32,
    /// Priority class.
    pub class: Class,
    /// Time left until the caller's deadline, in milliseconds.
    pub time_left_ms: u64,
    /// Inventory revision under which the router admitted the request.
    pub revision: u64,
    /// Digest of the work; equal for every retry of the same work by a caller.
    pub digest: Digest,
    /// Whether the digest is suspected of crashing endpoints and must run alone.
    pub suspect: bool,
    /// Slot on which a model request runs; `None` for a service call.
    pub grant: Option<SlotGrant>,
    /// Committed claim of a call that is not idempotent; `None` for other work.
    pub claim: Option<ClaimTicket>,
    /// What to run.
    pub work: WorkSpec,
}
