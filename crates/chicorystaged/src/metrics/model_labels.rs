use chicorystage_api::name::ModelName;
use prometheus_client::encoding::EncodeLabelSet;

/// Labels of figures kept for each model.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ModelLabels {
    /// Base model.
    pub model: String,
}

impl ModelLabels {
    /// Creates the labels of a model.
    #[must_use]
    pub fn new(model: &ModelName) -> Self {
        Self {
            model: model.to_string(),
        }
    }
}
