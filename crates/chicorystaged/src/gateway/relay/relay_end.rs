//! How relayed answers end.

use displaydoc::Display;

/// How a relayed answer ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RelayEnd {
    /// whole
    Whole,
    /// answer ended within an event
    WithinEvent,
    /// answer ended before its first event
    BeforeFirstEvent,
    /// connection broke within an answer
    ConnectionBroke,
    /// event too long
    EventTooLong,
    /// endpoint fell silent
    Silent,
    /// deadline passed
    DeadlinePassed,
    /// caller left
    CallerLeft,
}

impl RelayEnd {
    /// Returns whether the endpoint's process may have ended while it ran the request.
    #[must_use]
    pub fn may_be_crash(self) -> bool {
        matches!(
            self,
            Self::ConnectionBroke | Self::WithinEvent | Self::BeforeFirstEvent
        )
    }
}
