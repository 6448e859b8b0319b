//! Control messages between routers and agents, carried by JSON-RPC.
//!
//! Each daemon serves JSON-RPC at [`RPC_PATH`] of its internal address.
//! Attempts and their answers use a separate protocol; see [`work`](crate::work).

mod agent_rpc;
mod agent_status;
mod attempt_ref;
mod changes;
mod claim_query;
mod claim_row;
mod claim_state;
mod permit;
mod place_request;
mod placement_ack;
mod placement_push;
mod placement_row;
mod quarantine_entry;
mod request_trace;
mod revision_hint;
mod router_rpc;
mod router_status;
mod trace_step;

pub use agent_rpc::{AgentRpcClient, AgentRpcServer};
pub use agent_status::{AgentStatus, ReplicaState, ReplicaStatus};
pub use attempt_ref::AttemptRef;
pub use changes::{Changes, ChangesQuery};
pub use claim_query::ClaimQuery;
pub use claim_row::{ClaimOutcome, ClaimRow};
pub use claim_state::ClaimState;
pub use permit::{PermitAnswer, PermitKind, PermitRequest};
pub use place_request::PlaceRequest;
pub use placement_ack::PlacementAck;
pub use placement_push::PlacementPush;
pub use placement_row::{PlacementRow, Slot, SlotState};
pub use quarantine_entry::QuarantineEntry;
pub use request_trace::{RequestTrace, TraceEnd};
pub use revision_hint::{RevisionAck, RevisionHint};
pub use router_rpc::{RouterRpcClient, RouterRpcServer};
pub use router_status::RouterStatus;
pub use trace_step::{TraceEvent, TraceStep};

/// URL path of JSON-RPC on each daemon's internal address.
pub const RPC_PATH: &str = "/rpc";
/// Prefix of the keys of placement rows, followed by the model's name.
pub const PLACEMENT_ROW_PREFIX: &str = "placement/";
/// Prefix of the keys of claim rows, followed by the caller and the idempotency key.
pub const CLAIM_ROW_PREFIX: &str = "claim/";
/// Prefix of the keys of quarantine rows, followed by the digest of the work.
pub const QUARANTINE_ROW_PREFIX: &str = "quarantine/";
