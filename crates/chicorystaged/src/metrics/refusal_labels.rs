use chicorystage_api::refusal::Refusal;
use prometheus_client::encoding::EncodeLabelSet;

/// Labels of refusals that are counted per code and outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// Stable code of the reason.
    pub code: String,
    /// Whether the request may have taken effect.
    pub outcome: String,
}

impl RefusalLabels {
    /// Returns the labels of a refusal.
    #[must_use]
    pub fn new(refusal: &Refusal) -> Self {
        Self {
            code: refusal.code.to_string(),
            outcome: refusal.outcome.to_string(),
        }
    }
}
