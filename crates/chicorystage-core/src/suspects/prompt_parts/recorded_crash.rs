use std::collections::HashMap;

use chicorystage_api::name::{EndpointId, PromptPartId, ServiceName};

use crate::suspects::prompt_parts::{CrashReport, PartAtCrash};

/// Time within which two reports of an endpoint are of the same crash, in milliseconds.
///
/// An endpoint needs longer to start again.
const SAME_CRASH_MS: u64 = 1_000;

/// A crash with the parts that may have caused it, merged from the reports of all processes.
#[derive(Clone, Debug)]
pub(super) struct RecordedCrash {
    pub endpoint: EndpointId,
    pub service: ServiceName,
    /// Time of the crash, the latest of all reports: answers may have ended shortly before it.
    pub crashed_ms: u64,
    pub suspects: HashMap<PromptPartId, PartSuspicion>,
}

/// What all processes know of a part at a crash.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartSuspicion {
    /// Number of requests with the part that broke.
    pub requests: u32,
    /// Whether the endpoint had begun to answer one of them.
    pub is_begun: bool,
    /// Start of the latest of their attempts, in milliseconds.
    pub attempt_began_ms: u64,
    /// Deepest position in the prompt.
    pub position: usize,
    /// Whether this process had one of the requests.
    pub is_own: bool,
}

impl RecordedCrash {
    /// Creates the record of a report's crash, without its parts.
    pub fn new(report: &CrashReport, crashed_ms: u64) -> Self {
        Self {
            endpoint: report.endpoint.clone(),
            service: report.service.clone(),
            crashed_ms,
            suspects: HashMap::new(),
        }
    }

    /// Returns whether a report is of this crash.
    pub fn is_of(&self, report: &CrashReport, crashed_ms: u64) -> bool {
        self.endpoint == report.endpoint && self.crashed_ms.abs_diff(crashed_ms) < SAME_CRASH_MS
    }

    /// Adds what a process knows of a part; `crashed_ms` is the time of the crash in its report, and
    /// `is_own` is whether it is this process.
    pub fn add(&mut self, part: &PartAtCrash, crashed_ms: u64, is_own: bool) {
        let attempt_began_ms = crashed_ms.saturating_sub(part.attempt_ms);
        let suspicion = self
            .suspects
            .entry(part.part.clone())
            .or_insert(PartSuspicion {
                requests: 0,
                is_begun: false,
                attempt_began_ms,
                position: part.position,
                is_own: false,
            });
        suspicion.requests = suspicion.requests.saturating_add(part.requests);
        suspicion.is_begun |= part.is_begun;
        suspicion.attempt_began_ms = suspicion.attempt_began_ms.max(attempt_began_ms);
        suspicion.position = suspicion.position.max(part.position);
        suspicion.is_own |= is_own;
    }
}
