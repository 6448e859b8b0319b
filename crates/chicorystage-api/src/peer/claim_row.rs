use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::name::{Digest, RequestId, VmId};

/// A claim on an idempotency key, as stored in the platform's table.
///
/// The claim gives one incarnation of one agent the exclusive right to run the
/// call, so that it runs at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Digest of method, path and body.
    pub body_sha256: Digest,
    /// Epoch of the claim, counted from 1; a new epoch replaces a claim that did not run.
    pub epoch: u32,
    /// VM of the only agent that may run this epoch.
    pub vm: VmId,
    /// Incarnation of that agent.
    pub incarnation: u64,
    /// Request for which the epoch was claimed.
    pub request_id: RequestId,
    /// Wall-clock time of the claim, in milliseconds since the Unix epoch.
    pub claimed_unix_ms: u64,
    /// Recorded outcome of the call.
    pub outcome: ClaimOutcome,
}

/// Recorded outcome of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// No outcome is recorded yet; the agent has the current state.
    Open,
    /// The call ran and returned this answer.
    Answered {
        /// HTTP status.
        status: u16,
        /// `Content-Type` of the body.
        content_type: Arc<str>,
        /// Body in base64.
        body_base64: Arc<str>,
    },
    /// The agent tombstoned the epoch: the call did not run and never will under it.
    NotRun,
    /// The agent or its incarnation is gone: the call may have run, and will not run again.
    MayHaveRun,
}
