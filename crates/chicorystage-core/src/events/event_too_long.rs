use displaydoc::Display;

/// Error of an event that is longer than an event may be.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[displaydoc("an event of more than {limit_bytes} bytes has no end yet")]
pub struct EventTooLong {
    /// Largest number of bytes of an incomplete event.
    pub limit_bytes: usize,
}

impl std::error::Error for EventTooLong {}
