use chicorystage_api::name::ModelName;
use prometheus_client::encoding::EncodeLabelSet;

/// Labels of metrics that are kept per model.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ModelLabels {
    /// Name of the base model.
    pub model: String,
}

impl ModelLabels {
    /// Returns the labels of a model.
    #[must_use]
    pub fn new(model: &ModelName) -> Self {
        Self {
            model: model.to_string(),
        }
    }
}
