use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::inventory::Class;
use crate::name::{CallerName, RequestId};
use crate::peer::TraceStep;
use crate::refusal::Refusal;
use crate::work::EndSummary;

/// What happened to a request at one router, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestTrace {
    /// Request that the trace is of.
    pub request_id: RequestId,
    /// Wall-clock time of its arrival, in milliseconds since the Unix epoch.
    pub received_unix_ms: u64,
    /// Caller, once known.
    pub caller: Option<CallerName>,
    /// Class, once known.
    pub class: Option<Class>,
    /// Model or call that was asked for.
    pub target: Arc<str>,
    /// Time that the request had, in milliseconds, once known.
    pub timeout_ms: Option<u64>,
    /// Decisions and events in their order.
    pub steps: Vec<TraceStep>,
    /// How it ended.
    pub end: TraceEnd,
}

/// How a traced request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum TraceEnd {
    /// It is in progress.
    InProgress,
    /// The answer was whole.
    Answered {
        /// Figures of the attempt that gave it.
        summary: EndSummary,
    },
    /// It was refused.
    Refused {
        /// What the caller was told.
        refusal: Refusal,
    },
    /// The caller went away.
    Cancelled,
}
