use chicorystage_api::name::{AdapterName, EndpointId, ModelName, ServiceName};

use crate::fleet::Prompt;

/// What a request needs of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Want {
    /// Service of the request's route.
    pub service: ServiceName,
    /// Model that must be held; none for a plain application.
    pub model: Option<ModelName>,
    /// Adapter of the model that must be held.
    pub adapter: Option<AdapterName>,
    /// Prompt that the endpoint is to read.
    pub prompt: Prompt,
    /// Endpoints that failed this request before.
    pub avoid: Vec<EndpointId>,
}

impl Want {
    /// Returns whether an endpoint that suits one of two requests suits the other, their prompts aside.
    #[must_use]
    pub fn needs_same(&self, other: &Self) -> bool {
        self.service == other.service
            && self.model == other.model
            && self.adapter == other.adapter
            && self.avoid == other.avoid
    }
}
