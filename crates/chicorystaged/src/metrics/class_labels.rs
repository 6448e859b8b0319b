use chicorystage_api::inventory::Class;
use chicorystage_api::name::CallerName;
use prometheus_client::encoding::EncodeLabelSet;

/// Labels of metrics that are kept per priority class and tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ClassLabels {
    /// Priority class in its text form.
    pub class: String,
    /// Name of the caller that sends the requests.
    pub tenant: String,
}

impl ClassLabels {
    /// Returns the labels of a class and tenant.
    #[must_use]
    pub fn new(class: Class, tenant: &CallerName) -> Self {
        Self {
            class: class.to_string(),
            tenant: tenant.to_string(),
        }
    }
}
