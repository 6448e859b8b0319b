//! Events of the serving path to the router's main loop.

use chicorystage_api::inventory::Class;
use chicorystage_api::name::{CallerName, Digest, GroupName, ModelName, RequestId, VmId};
use chicorystage_api::peer::{QuarantineEntry, RequestTrace};
use chicorystage_api::refusal::Refusal;
use chicorystage_borders::vm_list::VmEntry;
use chicorystage_core::suspects::Standing;
use tokio::sync::oneshot;

use crate::router::serving::{Entry, WaitGuard};

/// One event of the serving path.
#[derive(Debug)]
pub enum ServingEvent {
    /// A caller's connection brings a request.
    Enter {
        /// Digest of the bearer token.
        token_sha256: Digest,
        /// Size of the body where the caller names it, in bytes.
        body_bytes: Option<u64>,
        /// Receives the entry, which counts the request out when dropped.
        reply: oneshot::Sender<Result<Entry, Refusal>>,
    },
    /// A request that entered has ended.
    Left {
        /// Its caller.
        caller: CallerName,
        /// Body bytes that were reserved.
        body_bytes: u64,
    },
    /// A body turned out smaller than what was reserved for it.
    BytesSpare {
        /// Bytes given back.
        spare_bytes: u64,
    },
    /// An admitted request is about to wait for its answer to begin.
    Wait {
        /// Its caller.
        caller: CallerName,
        /// Weight of the caller's share.
        weight: u32,
        /// Its class.
        class: Class,
        /// Digest of its work.
        digest: Digest,
        /// Receives the place, given back when dropped.
        reply: oneshot::Sender<Result<WaitGuard, Refusal>>,
    },
    /// A waiting request's answer has begun, or the request has ended.
    WaitEnded {
        /// Its caller.
        caller: CallerName,
    },
    /// A failed attempt asks whether another may follow.
    TakeRetry {
        /// Digest of the work.
        digest: Digest,
        /// Whether the failed attempt may have cost work, so that another is paid from the budget.
        paid: bool,
        /// Receives what is held against the digest by now; none where the budget is spent.
        reply: oneshot::Sender<Option<Standing>>,
    },
    /// A call asks for the VM that its claim names.
    FindVm {
        /// The VM.
        vm: VmId,
        /// Receives its entry, or none where the list has no such VM.
        reply: oneshot::Sender<Result<Option<VmEntry>, Refusal>>,
    },
    /// An agent refused an attempt because its VM is leaving.
    VmLeaving(VmId),
    /// An agent did not answer.
    Unanswered(VmId),
    /// An agent refused an attempt because it holds no slot.
    NotPlaced {
        /// Model without the slot.
        model: ModelName,
        /// Table version of the row that the attempt named.
        row_version: u64,
    },
    /// An endpoint died while it ran an attempt.
    Crashed {
        /// Digest of the work.
        digest: Digest,
        /// Whether it ran alone.
        alone: bool,
        /// Group of the endpoint.
        group: GroupName,
    },
    /// A request's answer was whole.
    Completed {
        /// Digest of the work.
        digest: Digest,
        /// Endpoint that gave it, with the key of the prompt's prefix.
        prefix_at: Option<(u64, VmId)>,
    },
    /// Another process decided on digests, or rows of the table were read.
    QuarantineLearnt(Vec<QuarantineEntry>),
    /// Somebody asks for the quarantined digests.
    QuarantineList {
        /// Receives them.
        reply: oneshot::Sender<Vec<QuarantineEntry>>,
    },
    /// An operator lifts a quarantine.
    QuarantineLift {
        /// Digest that is trusted again.
        digest: Digest,
        /// Receives the entry that is told to the others.
        reply: oneshot::Sender<QuarantineEntry>,
    },
    /// A request's trace has grown.
    Traced(Box<RequestTrace>),
    /// Somebody asks what happened to a request.
    Explain {
        /// The request.
        request_id: RequestId,
        /// Receives the trace, where it is still kept.
        reply: oneshot::Sender<Option<RequestTrace>>,
    },
    /// The daemon waits for an operator's order to stop.
    AwaitDrain {
        /// Receives the order.
        reply: oneshot::Sender<()>,
    },
    /// The router is to leave: readiness fails from now on.
    Leave,
    /// The loop is to end.
    Stop,
}
