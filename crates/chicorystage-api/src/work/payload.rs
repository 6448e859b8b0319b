use std::sync::Arc;

use crate::refusal::Refusal;
use crate::work::EndSummary;

/// Content of a [`Frame`](crate::work::Frame).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// The attempt is still running and has nothing new to deliver.
    Heartbeat,
    /// One token of a completion.
    Token(Arc<str>),
    /// Status and content type of a service's answer; precedes the body.
    Head {
        /// HTTP status.
        status: u16,
        /// `Content-Type`; empty if the service sent none.
        content_type: Arc<str>,
    },
    /// Part of the body of a service's answer, in base64.
    Body(Arc<str>),
    /// The answer is complete; final.
    End(EndSummary),
    /// The attempt was refused or abandoned; final.
    Refused(Refusal),
}

impl Payload {
    /// Returns whether the frame is the last one of its attempt.
    #[must_use]
    pub fn is_final(&self) -> bool {
        matches!(self, Self::End(_) | Self::Refused(_))
    }

    /// Returns whether the frame increases the offset; a heartbeat does not.
    #[must_use]
    pub fn is_content(&self) -> bool {
        !matches!(self, Self::Heartbeat)
    }
}
