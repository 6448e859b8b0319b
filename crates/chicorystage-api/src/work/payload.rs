use std::sync::Arc;

use crate::refusal::Refusal;
use crate::work::EndSummary;

/// Content of a [`Frame`](crate::work::Frame).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// The attempt lives; nothing new to deliver.
    Heartbeat,
    /// One token of a completion.
    Token(Arc<str>),
    /// Status and content type of a service's answer, before its body.
    Head {
        /// HTTP status.
        status: u16,
        /// `Content-Type`, empty where the service gave none.
        content_type: Arc<str>,
    },
    /// Part of a service's answer, in base64.
    Body(Arc<str>),
    /// The answer is whole.
    End(EndSummary),
    /// The attempt was given up; final.
    Refused(Refusal),
}

impl Payload {
    /// Returns whether no frame of the attempt follows.
    #[must_use]
    pub fn is_final(&self) -> bool {
        matches!(self, Self::End(_) | Self::Refused(_))
    }

    /// Returns whether the frame counts towards the offset.
    #[must_use]
    pub fn is_content(&self) -> bool {
        !matches!(self, Self::Heartbeat)
    }
}
