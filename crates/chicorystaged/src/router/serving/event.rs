//! Events that the serving path sends to the router's main loop.

use chicorystage_api::inventory::Class;
use chicorystage_api::name::{CallerName, Digest, GroupName, ModelName, RequestId, VmId};
use chicorystage_api::peer::{QuarantineEntry, RequestTrace};
use chicorystage_api::refusal::Refusal;
use chicorystage_borders::vm_list::VmEntry;
use chicorystage_core::suspects::DigestStatus;
use tokio::sync::oneshot;

use crate::router::serving::{EntryGuard, WaitGuard};

/// One event of the serving path.
#[derive(Debug)]
pub enum ServingEvent {
    /// A caller's connection received a request.
    Enter {
        /// Digest of the bearer token.
        token_sha256: Digest,
        /// Declared size of the body, in bytes; `None` if the caller declares none.
        body_bytes: Option<u64>,
        /// Receives the guard that counts the request until it is dropped.
        reply: oneshot::Sender<Result<EntryGuard, Refusal>>,
    },
    /// The guard of a request that had entered was dropped.
    RequestEnded {
        /// Caller of the request.
        caller: CallerName,
        /// Body bytes still reserved for the request.
        body_bytes: u64,
    },
    /// A body is smaller than the bytes reserved for it.
    ReleaseBytes {
        /// Bytes to release.
        excess_bytes: u64,
    },
    /// An admitted request asks to enter the wait queue until its answer begins.
    Wait {
        /// Caller of the request.
        caller: CallerName,
        /// Weight of the caller's share of the queue.
        weight: u32,
        /// Priority class of the request.
        class: Class,
        /// Digest of the requested work.
        digest: Digest,
        /// Receives the guard of the place in the queue, released on drop.
        reply: oneshot::Sender<Result<WaitGuard, Refusal>>,
    },
    /// The answer of a waiting request has begun, or the request has ended.
    WaitEnded {
        /// Caller of the request.
        caller: CallerName,
    },
    /// A request whose attempt failed asks for a retry.
    TakeRetry {
        /// Digest of the work.
        digest: Digest,
        /// Whether the retry is charged to the retry budget.
        ///
        /// False if the failed attempt cost its endpoint no work.
        charged: bool,
        /// Receives the digest's current status; `None` if the budget is spent.
        reply: oneshot::Sender<Option<DigestStatus>>,
    },
    /// A call looks up the VM that its claim names.
    FindVm {
        /// Id of the VM.
        vm: VmId,
        /// Receives the VM's entry; `None` if the platform's list has no such VM.
        reply: oneshot::Sender<Result<Option<VmEntry>, Refusal>>,
    },
    /// An agent refused an attempt because its VM is leaving.
    VmLeaving(VmId),
    /// The agent of a VM did not answer an attempt.
    Unanswered(VmId),
    /// An agent refused an attempt because it holds no slot.
    NotPlaced {
        /// Model that the agent holds no slot for.
        model: ModelName,
        /// Table version of the row that the attempt named.
        row_version: u64,
    },
    /// An endpoint crashed while it ran an attempt.
    Crashed {
        /// Digest of the work.
        digest: Digest,
        /// Whether the work ran alone on the endpoint.
        alone: bool,
        /// Group of the endpoint.
        group: GroupName,
    },
    /// A request was answered completely.
    Completed {
        /// Digest of the work.
        digest: Digest,
        /// Key of the prompt's prefix and the VM that processed it.
        ///
        /// `None` for a service or a short prompt.
        prefix_at: Option<(u64, VmId)>,
    },
    /// Quarantine entries were pushed by another process or read from the table.
    QuarantineReceived(Vec<QuarantineEntry>),
    /// A query for the quarantined digests.
    QuarantineList {
        /// Receives the entries of all quarantined digests.
        reply: oneshot::Sender<Vec<QuarantineEntry>>,
    },
    /// An operator lifts a quarantine.
    QuarantineLift {
        /// Digest whose quarantine ends.
        digest: Digest,
        /// Receives the entry that is published to the other processes.
        reply: oneshot::Sender<QuarantineEntry>,
    },
    /// The trace of a request has new steps or has ended.
    Traced(Box<RequestTrace>),
    /// A query for the trace of a request.
    Explain {
        /// Id of the request.
        request_id: RequestId,
        /// Receives the trace; `None` if it was evicted or never existed.
        reply: oneshot::Sender<Option<RequestTrace>>,
    },
    /// The daemon waits for an operator's drain command.
    AwaitDrain {
        /// Signalled once the drain begins.
        reply: oneshot::Sender<()>,
    },
    /// The router starts to leave: its readiness check fails from now on.
    Leave,
    /// The main loop must end.
    Stop,
}
