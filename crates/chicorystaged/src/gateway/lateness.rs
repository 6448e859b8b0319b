//! Counts late answers by their cause.

use chicorystage_core::deployment::Route;
use chicorystage_core::latency::AnswerTimes;

use crate::gateway::shared::Gateway;

/// Counts an answer if it is late, and returns the cause for the log; empty if it is in time.
#[must_use]
pub fn late_cause(gateway: &Gateway, route: &Route, times: &AnswerTimes) -> String {
    let Some(cause) = times.late_cause(route) else {
        return String::new();
    };
    let cause = cause.to_string();
    gateway.metrics.count_late_answer(&route.name, &cause);
    cause
}
