//! Which software version began a stream.

use chicorystage_api::name::SoftwareVersion;

/// Software version of the endpoint whose event the caller got first.
///
/// Events of two versions do not fit together, and endpoints do not check it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum StreamOrigin {
    /// The caller has got no event yet.
    #[default]
    NotBegun,
    /// The endpoint's registry entry stated no version.
    Unknown,
    /// The endpoint ran this version.
    Version(SoftwareVersion),
}

impl StreamOrigin {
    /// Records the version of the endpoint that sent an event, if it is the first one.
    pub fn record_event(&mut self, software: Option<&SoftwareVersion>) {
        if *self != Self::NotBegun {
            return;
        }
        *self = match software {
            Some(software) => Self::Version(software.clone()),
            None => Self::Unknown,
        };
    }

    /// Returns the version that began the stream, if it has begun and the version is known.
    #[must_use]
    pub fn software(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::Version(software) => Some(software),
            Self::NotBegun | Self::Unknown => None,
        }
    }
}
