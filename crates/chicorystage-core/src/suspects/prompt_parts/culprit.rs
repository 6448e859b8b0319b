use crate::suspects::prompt_parts::ServicePart;

/// A prompt part that is taken for the cause of crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Culprit {
    /// The part.
    pub part: ServicePart,
    /// Number of crashes that it explains.
    pub crashes: u32,
}
