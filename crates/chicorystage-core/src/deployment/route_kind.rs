use derive_more::Display;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// Idempotent calls with a short answer.
    #[display("idempotent")]
    Idempotent,
    /// Calls that run at most once for each attempt of the caller.
    #[display("once")]
    Once,
    /// Answers that are a series of events.
    #[display("stream")]
    Stream {
        /// Whether another endpoint may continue after the last whole event.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may be sent again after it may have run.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::Once => false,
            Self::Stream { is_resumable } => is_resumable,
        }
    }

    /// Returns whether the answer is a series of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}
