use derive_more::Display;

use crate::fleet::Choice;

/// Why an endpoint cannot take a request now.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Rejection {
    /// It leaves, cannot be reached, or another endpoint answers at its address.
    #[display("not usable")]
    Unusable,
    /// It runs another software version than the one that began the stream.
    #[display("other software version")]
    OtherSoftware,
    /// It does not hold the model.
    #[display("model not loaded")]
    NoModel,
    /// It does not hold the adapter.
    #[display("adapter not loaded")]
    NoAdapter,
    /// Its software version is not recorded yet.
    #[display("software version not recorded")]
    SoftwareUnrecorded,
    /// All its slots are in use, or it wants no request for a time.
    #[display("full")]
    Full,
    /// This router has used its part of the room that is left.
    #[display("own part of the room used")]
    ShareUsed,
    /// The limit that it has named is used up.
    #[display("limit used up")]
    Limited,
    /// It still reads prompts that this router has sent.
    #[display("reads earlier prompts")]
    Reading,
    /// It breaks connections, while another endpoint does not.
    #[display("breaks connections")]
    Breaking,
}

impl Rejection {
    /// Returns what the request is missing if all endpoints are rejected for this reason.
    pub(super) fn choice(self) -> Choice {
        match self {
            Self::Unusable | Self::OtherSoftware | Self::Breaking => Choice::NoEndpoint,
            Self::NoModel => Choice::NoModel,
            Self::NoAdapter => Choice::NoAdapter,
            Self::SoftwareUnrecorded | Self::Full | Self::ShareUsed => Choice::Full,
            Self::Limited => Choice::Limited,
            Self::Reading => Choice::Reading,
        }
    }
}
