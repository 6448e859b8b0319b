use std::fmt;

/// Failure of a call to something outside the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BorderError {
    kind: BorderErrorKind,
    context: String,
}

/// What a [`BorderError`] says about the call's effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum BorderErrorKind {
    /// The call did not reach the other side: it had no effect.
    NotDelivered,
    /// The call may have reached the other side: its effect is unknown.
    Unknown,
    /// The other side refused the call: it had no effect.
    Rejected,
}

impl BorderError {
    /// Creates an error with the action that failed and why.
    #[must_use]
    pub fn new(kind: BorderErrorKind, context: impl Into<String>) -> Self {
        Self {
            kind,
            context: context.into(),
        }
    }

    /// Returns what is known of the call's effect.
    #[must_use]
    pub fn kind(&self) -> BorderErrorKind {
        self.kind
    }

    /// Returns whether the call certainly had no effect.
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
