use chicorystage_api::inventory::Class;
use chicorystage_api::name::CallerName;
use prometheus_client::encoding::EncodeLabelSet;

/// Labels of figures kept for each class and tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ClassLabels {
    /// Priority class.
    pub class: String,
    /// Caller whose requests are counted.
    pub tenant: String,
}

impl ClassLabels {
    /// Creates the labels of a class and tenant.
    #[must_use]
    pub fn new(class: Class, tenant: &CallerName) -> Self {
        Self {
            class: class.to_string(),
            tenant: tenant.to_string(),
        }
    }
}
