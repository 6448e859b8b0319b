use std::fmt;
use std::net::SocketAddr;

use chicorystage_api::name::{CallerName, Digest, IdempotencyKey, VmId};
use chicorystage_api::peer::AttemptRef;
use chicorystage_api::refusal::{Refusal, RefusalCode};
use chicorystage_api::work::ClaimTicket;
use chicorystage_platform::BoxFuture;

use crate::router::serving::WholeAnswer;

/// A call that asks to be claimed before it is dispatched.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Caller who owns the key.
    pub caller: CallerName,
    /// Caller's idempotency key.
    pub key: IdempotencyKey,
    /// Digest of method, path and body.
    pub body_sha256: Digest,
    /// Attempt that would run the call.
    pub attempt: AttemptRef,
    /// VM whose agent would run it.
    pub vm: VmId,
    /// Address of that agent.
    pub address: SocketAddr,
    /// Time left until the caller's deadline, in milliseconds.
    pub time_left_ms: u64,
}

/// What a claim came to.
#[derive(Clone, Debug)]
pub enum ClaimDecision {
    /// The claim is committed; this request dispatches the call.
    Run(ClaimTicket),
    /// The call runs or ran already; its frames are resumed from offset 0.
    Attach {
        /// Address of the agent that runs it.
        address: SocketAddr,
        /// VM of that agent.
        vm: VmId,
        /// Attempt that runs it.
        attempt: AttemptRef,
    },
    /// The call ran and its answer is recorded.
    Recorded(WholeAnswer),
}

/// Who takes and settles claims of calls that are not idempotent.
///
/// A call is claimed after its endpoint is chosen and before it is dispatched,
/// and settled once its end is known.
pub trait ClaimGate: fmt::Debug + Send + Sync {
    /// Claims a call for an endpoint.
    ///
    /// # Errors
    ///
    /// A refusal is final for the caller; `not_run` is used only where the call
    /// did not run and never will under this key's epoch.
    fn take(&self, request: ClaimRequest) -> BoxFuture<'_, Result<ClaimDecision, Refusal>>;

    /// Records the end of a call that was dispatched under a ticket.
    fn settle(
        &self,
        request: ClaimRequest,
        ticket: ClaimTicket,
        end: Result<WholeAnswer, Refusal>,
    ) -> BoxFuture<'_, ()>;
}

/// Refuses every call that needs a claim.
#[derive(Debug)]
pub struct NoClaims;

impl ClaimGate for NoClaims {
    fn take(&self, _request: ClaimRequest) -> BoxFuture<'_, Result<ClaimDecision, Refusal>> {
        Box::pin(async {
            let detail = "calls that are not idempotent are not offered";
            Err(Refusal::not_run(RefusalCode::ClaimUnavailable, detail))
        })
    }

    fn settle(
        &self,
        _request: ClaimRequest,
        _ticket: ClaimTicket,
        _end: Result<WholeAnswer, Refusal>,
    ) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }
}
