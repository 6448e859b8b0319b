use derive_more::Display;

/// Whether requests on a route may be retried, and the kind of answer they get.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// Idempotent calls with a single answer; may be retried.
    #[display("idempotent")]
    Idempotent,
    /// Calls that are not idempotent; run at most once for each attempt of the caller.
    #[display("once")]
    Once,
    /// Calls answered by a stream of events.
    #[display("stream")]
    Stream {
        /// Whether another endpoint may resume the stream after the last complete event.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run may be sent again.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::Once => false,
            Self::Stream { is_resumable } => is_resumable,
        }
    }

    /// Returns whether a stream that breaks off may go on at another endpoint.
    #[must_use]
    pub fn is_resumable(self) -> bool {
        matches!(self, Self::Stream { is_resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}
