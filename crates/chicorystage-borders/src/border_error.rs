use std::fmt;

/// Failure of a call to another process, with what is known of its effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BorderError {
    kind: BorderErrorKind,
    context: String,
}

/// Whether a failed call may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum BorderErrorKind {
    /// The call did not reach the other side and had no effect.
    NotDelivered,
    /// The call may have reached the other side; whether it took effect is unknown.
    Unknown,
    /// The other side refused the call, which had no effect.
    Rejected,
}

impl BorderError {
    /// Creates an error; `context` names the action that failed and the reason.
    #[must_use]
    pub fn new(kind: BorderErrorKind, context: impl Into<String>) -> Self {
        Self {
            kind,
            context: context.into(),
        }
    }

    /// Returns whether the call may have taken effect.
    #[must_use]
    pub fn kind(&self) -> BorderErrorKind {
        self.kind
    }

    /// Returns whether the call is certain to have had no effect, so that a retry is safe.
    #[must_use]
    pub fn had_no_effect(&self) -> bool {
        self.kind != BorderErrorKind::Unknown
    }
}

impl fmt::Display for BorderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let effect = match self.kind {
            BorderErrorKind::NotDelivered => "not delivered",
            BorderErrorKind::Unknown => "effect unknown",
            BorderErrorKind::Rejected => "rejected",
        };
        write!(f, "{} ({effect})", self.context)
    }
}

impl std::error::Error for BorderError {}
