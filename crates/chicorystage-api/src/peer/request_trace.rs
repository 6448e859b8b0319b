use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::inventory::Class;
use crate::name::{CallerName, RequestId};
use crate::peer::TraceStep;
use crate::refusal::Refusal;
use crate::work::EndSummary;

/// The decisions and events of one request at one router, with their reasons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestTrace {
    /// Request that is traced.
    pub request_id: RequestId,
    /// Wall-clock time of its arrival, in milliseconds since the Unix epoch.
    pub received_unix_ms: u64,
    /// Caller; `None` before it is authenticated.
    pub caller: Option<CallerName>,
    /// Priority class; `None` before it is determined.
    pub class: Option<Class>,
    /// Model or service call that was requested.
    pub target: Arc<str>,
    /// Timeout of the request, in milliseconds; `None` before it is determined.
    pub timeout_ms: Option<u64>,
    /// Decisions and events in the order in which they happened.
    pub steps: Vec<TraceStep>,
    /// Outcome of the request.
    pub end: TraceEnd,
}

/// Outcome of a traced request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum TraceEnd {
    /// The request is still in progress.
    InProgress,
    /// The complete answer was sent to the caller.
    Answered {
        /// Figures of the attempt that returned the answer.
        summary: EndSummary,
    },
    /// The request was refused.
    Refused {
        /// Refusal that was sent to the caller.
        refusal: Refusal,
    },
    /// The caller disconnected before the answer was complete.
    Cancelled,
}
