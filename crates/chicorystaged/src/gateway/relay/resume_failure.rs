use displaydoc::Display;

use crate::gateway::loss_reason::LossReason;

/// Why a stream could not be resumed at another endpoint.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum ResumeFailure {
    /// no endpoint had room in time
    NoEndpoint,
    /// the request or a part of its prompt crashes endpoints
    Quarantined,
    /// the endpoint did not run it: {0}
    NotRun(&'static str),
    /// its answer is lost: {0}
    Lost(LossReason),
    /// deadline passed
    DeadlinePassed,
    /// the answer is no stream of events
    NoStream,
}
