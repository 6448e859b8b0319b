use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::name::{Digest, RequestId, VmId};

/// A claim as stored in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Digest of method, path and body.
    pub body_sha256: Digest,
    /// Epoch, counted from 1.
    pub epoch: u32,
    /// VM whose agent alone may run this epoch.
    pub vm: VmId,
    /// Incarnation of that agent.
    pub incarnation: u64,
    /// Request that claimed the epoch.
    pub request_id: RequestId,
    /// Wall-clock time of the claim, in milliseconds since the Unix epoch.
    pub claimed_unix_ms: u64,
    /// What is known to have become of it.
    pub outcome: ClaimOutcome,
}

/// Recorded end of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// Not recorded yet; the agent knows.
    Open,
    /// The call ran and gave this answer.
    Answered {
        /// HTTP status.
        status: u16,
        /// `Content-Type` of the body.
        content_type: Arc<str>,
        /// Body in base64.
        body_base64: Arc<str>,
    },
    /// The agent tombstoned the epoch: it did not run.
    NotRun,
    /// The agent or its incarnation is gone: it may have run and never will again.
    MayHaveRun,
}
