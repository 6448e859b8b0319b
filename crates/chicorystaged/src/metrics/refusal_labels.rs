use chicorystage_api::refusal::Refusal;
use prometheus_client::encoding::EncodeLabelSet;

/// Labels of refusals.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// Stable reason.
    pub code: String,
    /// Whether the effect may have happened.
    pub outcome: String,
}

impl RefusalLabels {
    /// Creates the labels of a refusal.
    #[must_use]
    pub fn new(refusal: &Refusal) -> Self {
        Self {
            code: refusal.code.to_string(),
            outcome: refusal.outcome.to_string(),
        }
    }
}
