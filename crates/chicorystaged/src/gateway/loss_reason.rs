//! Reasons for which the answer of an endpoint is lost.

use displaydoc::Display;

use crate::gateway::crash_checks::AnswerProgress;

/// Why the answer of an endpoint is lost.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LossReason {
    /// connection broke before an answer
    ConnectionBroke,
    /// switch of protocols that was not asked for
    ProtocolSwitch,
    /// too many interim answers
    InterimAnswers,
    /// answer broke off
    AnswerBroke,
    /// answer of another request
    ForeignAnswer,
    /// no answer in time
    NoAnswerInTime,
    /// answer not received in time
    SlowAnswer,
    /// endpoint failed
    ServerError,
}

impl LossReason {
    /// Returns whether the endpoint's process may have ended while it ran the request.
    #[must_use]
    pub fn may_be_crash(self) -> bool {
        matches!(self, Self::ConnectionBroke | Self::AnswerBroke)
    }

    /// Returns how far the endpoint had got with the answer.
    #[must_use]
    pub fn answer_progress(self) -> AnswerProgress {
        match self {
            Self::AnswerBroke | Self::SlowAnswer | Self::ServerError => AnswerProgress::Beginning,
            Self::ConnectionBroke
            | Self::ProtocolSwitch
            | Self::InterimAnswers
            | Self::ForeignAnswer
            | Self::NoAnswerInTime => AnswerProgress::NotBegun,
        }
    }
}
