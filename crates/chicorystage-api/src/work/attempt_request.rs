use serde::{Deserialize, Serialize};

use crate::inventory::Class;
use crate::name::{CallerName, Digest, RequestId};
use crate::work::{ClaimTicket, SlotGrant, WorkSpec};

/// One try of one request at one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRequest {
    /// Request that the attempt belongs to.
    pub request_id: RequestId,
    /// Number of the attempt, counted from 1 within the request.
    pub attempt: u32,
    /// Caller who sent the request.
    pub caller: CallerName,
    /// Weight of the caller's share under overload.
    pub weight: u32,
    /// Priority class.
    pub class: Class,
    /// Time left until the caller's deadline, in milliseconds.
    pub time_left_ms: u64,
    /// Inventory revision by which the router admitted the request.
    pub revision: u64,
    /// Digest of the work, the same for every copy a caller resends.
    pub digest: Digest,
    /// Whether the digest is suspected of crashing endpoints and must run alone.
    pub suspect: bool,
    /// Decided slot on which a model request runs.
    pub grant: Option<SlotGrant>,
    /// Committed claim of a call that is not idempotent.
    pub claim: Option<ClaimTicket>,
    /// What to run.
    pub work: WorkSpec,
}
